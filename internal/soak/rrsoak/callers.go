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
	// thinkTime is the mean time between a caller's answer and its next request.
	thinkTime = 30 * time.Millisecond
	// giveUp is how much longer than the route's time a caller waits.
	giveUp = time.Second
	// leaveShare is the share of requests whose caller leaves early, within
	// leaveTime.
	leaveShare = 0.03
	leaveTime  = 20 * time.Millisecond
	// longestBreak bounds how long a caller stays away when told to.
	longestBreak = time.Second
)

// caller sends one request after the other to one daemon, over one connection
// for as long as it lasts.
type caller struct {
	f      *fleet
	daemon *place
	name   string
	n      int
	client *http.Client
	fields rrforward.HeaderNames
}

func newCaller(f *fleet, daemon *place, i int) *caller {
	return &caller{
		f: f, daemon: daemon, name: fmt.Sprintf("%sc%d", daemon.name, i), fields: platform.Fields(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := time.Duration(rand.ExpFloat64() * float64(thinkTime))
		a, again := c.ask(ctx)
		if ctx.Err() != nil && a.Status == 0 {
			return // the run has ended, and this request with it
		}
		c.f.history.Answered(a)
		rrunit.Sleep(ctx, max(pause, again))
	}
}

// draw chooses a route.
func (c *caller) draw() *rrhistory.Answer {
	c.n++
	a := &rrhistory.Answer{ID: fmt.Sprintf("%sr%06d", c.name, c.n), Daemon: c.daemon.name, Service: "one"}
	route := "one"
	switch x := rand.Float64(); {
	case x < 0.45:
		route, a.Service = "all", ""
	case x < 0.65:
		route, a.Once = "once", true
	case x < 0.8:
		a.Version = max(1, c.f.currentVersion()-rand.IntN(2))
		route = fmt.Sprintf("v%d", a.Version)
	}
	a.URI = fmt.Sprintf("/%s/%s", route, a.ID)
	return a
}

// ask sends a request, and returns how it ended and how long to stay away.
func (c *caller) ask(ctx context.Context) (*rrhistory.Answer, time.Duration) {
	a := c.draw()
	limit := routeTime + giveUp
	if rand.Float64() < leaveShare {
		limit, a.Left = leaveTime, true
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.Sent = time.Now()
	defer func() { a.Ended = time.Now() }()
	// A POST is not sent twice by the client's library once it is written.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemon.through[rrplan.LinkCallers]+a.URI, strings.NewReader(a.ID))
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.Host = host
	req.Header.Set(c.fields.RequestID, a.ID)
	req.Header.Set(c.fields.TimeLeft, strconv.FormatInt(routeTime.Milliseconds(), 10))
	res, err := c.client.Do(req)
	if err != nil {
		a.Cut = isCut(ctx, err)
		return a, thinkTime
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		a.Cut = isCut(ctx, err)
		return a, thinkTime
	}
	a.Status, a.Body = res.StatusCode, string(body)
	if stamps := res.Header.Get(c.fields.ShardSignatures); stamps != "" {
		a.Stamps = strings.Split(stamps, ", ")
	} else if stamp := res.Header.Get(c.fields.Signature); stamp != "" {
		a.Stamps = []string{stamp}
	}
	a.Missing, _ = strconv.Atoi(res.Header.Get(c.fields.MissingShards))
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return a, min(longestBreak, time.Duration(seconds*float64(time.Second)))
}

// isCut reports whether a connection that was there ended, not the caller's own
// patience.
func isCut(ctx context.Context, err error) bool {
	var op *net.OpError
	return ctx.Err() == nil && (!errors.As(err, &op) || op.Op != "dial")
}
