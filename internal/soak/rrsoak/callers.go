package rrsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
	"rhubarbreel.example/rhubarbreel/platform"
)

const (
	host = "x.example"
	// The routes that all versions of the table have: to all shards, to one service, and to
	// the same if a request may run once only.
	routeGather     = "all"
	routeIdempotent = "one"
	routeOnce       = "once"
	// meanThinkTime is the mean time between an answer and the caller's next
	// request.
	meanThinkTime = 30 * time.Millisecond
	// timeoutMargin is how much longer than the route's timeout a caller waits.
	timeoutMargin = time.Second
	// cancelShare is the share of requests that the caller cancels after
	// cancelAfter.
	cancelShare = 0.03
	cancelAfter = 20 * time.Millisecond
	// maxRetryAfter bounds how long a caller waits when asked to by Retry-After.
	maxRetryAfter = time.Second
)

// caller sends requests to one daemon, one at a time, and reuses its connection
// while that is open.
type caller struct {
	fleet  *fleet
	daemon *node
	name   string
	count  int
	client *http.Client
	fields rrforward.HeaderNames
}

func newCaller(f *fleet, daemon *node, i int) *caller {
	return &caller{
		fleet: f, daemon: daemon, name: fmt.Sprintf("%sc%d", daemon.name, i), fields: platform.Fields(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := time.Duration(rand.ExpFloat64() * float64(meanThinkTime))
		req, retryAfter := c.send(ctx)
		if ctx.Err() != nil && req.Status == 0 {
			return // the request was interrupted by the end of the run
		}
		c.fleet.history.RecordRequest(req)
		rrunit.Sleep(ctx, max(pause, retryAfter))
	}
}

// nextRequest chooses the route of the next request at random.
func (c *caller) nextRequest() *rrhistory.Request {
	c.count++
	route, version := routeIdempotent, 0
	switch x := rand.Float64(); {
	case x < 0.45:
		route = routeGather
	case x < 0.65:
		route = routeOnce
	case x < 0.8:
		version = max(1, c.fleet.currentVersion()-rand.IntN(2))
		route = fmt.Sprintf("v%d", version)
	}
	r := c.newRequest(fmt.Sprintf("%sr%06d", c.name, c.count), route)
	r.Version = version
	r.URI = fmt.Sprintf("/%s/%s", route, r.ID)
	return r
}

func (c *caller) newRequest(id, route string) *rrhistory.Request {
	r := &rrhistory.Request{ID: id, Daemon: c.daemon.name, Service: "one", AtMostOnce: route == routeOnce}
	if route == routeGather {
		r.Service = ""
	}
	return r
}

// callerTimeout is how long a caller waits that does not leave early.
const callerTimeout = routeTimeout + timeoutMargin

// send sends a request, and returns how it ended and how long to wait before the
// next one.
func (c *caller) send(ctx context.Context) (*rrhistory.Request, time.Duration) {
	r := c.nextRequest()
	timeout := callerTimeout
	if rand.Float64() < cancelShare {
		timeout, r.CancelledEarly = cancelAfter, true
	}
	return c.exchange(ctx, r, r.ID, timeout)
}

// sendCrashing sends the crashing request of an event.
func (c *caller) sendCrashing(ctx context.Context, e rrplan.Event) {
	defer c.client.CloseIdleConnections()
	r := c.newRequest(fmt.Sprintf("%sx%d", c.name, e.Number), e.Target)
	r.URI = fmt.Sprintf("/%s/x%d?%s=%s", e.Target, e.Number, crashField, e.Delay)
	r.Crashing = true
	timeout := callerTimeout
	if e.Patience > 0 {
		timeout, r.CancelledEarly = e.Patience, true
	}
	c.exchange(ctx, r, "", timeout)
	c.fleet.history.RecordRequest(r)
}

// exchange sends a request with a body, and returns how it ended and how long to wait before
// the next one.
func (c *caller) exchange(ctx context.Context, r *rrhistory.Request, content string, timeout time.Duration) (*rrhistory.Request, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.Sent = time.Now()
	defer func() { r.Ended = time.Now() }()
	// POST, because http.Transport does not retry it once it is written.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemon.proxyAddress[rrplan.LinkCallers]+r.URI, strings.NewReader(content))
	if err != nil {
		panic(err) // impossible: the soak chooses the address
	}
	req.Host = host
	req.Header.Set(c.fields.RequestID, r.ID)
	req.Header.Set(c.fields.TimeLeft, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	res, err := c.client.Do(req)
	if err != nil {
		r.ConnectionLost = isConnectionLost(ctx, err)
		return r, meanThinkTime
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		r.ConnectionLost = isConnectionLost(ctx, err)
		return r, meanThinkTime
	}
	r.Status, r.Body = res.StatusCode, string(body)
	if signatures := res.Header.Get(c.fields.ShardSignatures); signatures != "" {
		r.Signatures = strings.Split(signatures, ", ")
	} else if signature := res.Header.Get(c.fields.Signature); signature != "" {
		r.Signatures = []string{signature}
	}
	r.MissingShards, _ = strconv.Atoi(res.Header.Get(c.fields.MissingShards))
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return r, min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// isConnectionLost reports whether an error is the end of an established
// connection, rather than a failed dial or the caller's timeout.
func isConnectionLost(ctx context.Context, err error) bool {
	var op *net.OpError
	return ctx.Err() == nil && (!errors.As(err, &op) || op.Op != "dial")
}
