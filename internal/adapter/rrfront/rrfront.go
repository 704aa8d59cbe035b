// Package rrfront implements the HTTP handler for callers whose requests are forwarded
// unchanged: it reads requests and writes answers. It makes no decisions of its own.
package rrfront

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrgateway"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// Handler serves the callers' port.
type Handler struct {
	gateway *rrgateway.Gateway
	fields  rrforward.HeaderNames
	leaving func() bool
}

// New returns the handler of the callers' port. While leaving returns true, it asks
// callers to close their connections.
func New(gateway *rrgateway.Gateway, fields rrforward.HeaderNames, leaving func() bool) *Handler {
	return &Handler{gateway: gateway, fields: fields, leaving: leaving}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.gateway.Now()
	if h.leaving() {
		w.Header().Set("Connection", "close")
	}
	table := h.gateway.AwaitTable(r.Context(), h.tableWait(r.Header))
	if table == nil {
		h.gateway.RecordRefused(h.requestID(r), r.RequestURI, http.StatusServiceUnavailable, rrquery.ReasonStore)
		h.write(w, rrgateway.Refuse(rrquery.ReasonStore, noTableRetryAfter))
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, rrquery.ReasonNoRoute, "no route matches the host and path")
		return
	}
	if problem := h.checkRequestID(r); problem != "" {
		h.refuse(w, r, http.StatusBadRequest, rrquery.ReasonMalformed, problem)
		return
	}
	if headerSize(r) > int(table.Limits.Header) {
		h.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, rrquery.ReasonMalformed, "(header): is longer than the limit")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(table.Limits.Body)))
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	call := &rrgateway.Call{
		Request: rrforward.Request{
			Method: r.Method,
			URI:    r.RequestURI,
			Host:   r.Host,
			Header: rrforward.EncodeHeader(h.endToEndHeader(r.Header)),
			Body:   body,
			ID:     h.requestID(r),
		},
		TimeLeft: h.timeBudget(r.Header),
		Arrived:  arrived,
	}
	h.write(w, sentAnswer(h.gateway.Serve(r.Context(), table, route, call)))
}

// sentAnswer returns the answer that is sent to the caller. One that seems to have left may
// only have closed its sending side: without an answer, net/http would send a success.
func sentAnswer(a *rrgateway.Answer) *rrgateway.Answer {
	if a.Status != rrgateway.StatusClientClosedRequest {
		return a
	}
	return &rrgateway.Answer{Status: http.StatusBadGateway, Reason: a.Reason}
}

// noTableRetryAfter is the Retry-After time while the daemon has no routing table.
const noTableRetryAfter = rrunit.Duration(time.Second)

func (h *Handler) requestID(r *http.Request) rrunit.RequestID {
	return rrunit.RequestID(r.Header.Get(h.fields.RequestID))
}

// checkRequestID returns what is wrong with the request id; empty if it is valid.
func (h *Handler) checkRequestID(r *http.Request) string {
	if ids := r.Header.Values(h.fields.RequestID); len(ids) != 1 || ids[0] == "" {
		return h.fields.RequestID + ": is missing or stands twice"
	}
	// A folded header line would join two values.
	if strings.ContainsAny(string(h.requestID(r)), " \t") {
		return h.fields.RequestID + ": holds a space"
	}
	return ""
}

// refuse refuses a request that was not forwarded and so not run.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason rrquery.Reason, problem string) {
	h.gateway.RecordRefused(h.requestID(r), r.RequestURI, status, reason)
	http.Error(w, problem, status)
}

func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		h.refuse(w, r, http.StatusRequestEntityTooLarge, rrquery.ReasonMalformed, "(body): is longer than the limit")
		return
	}
	h.refuse(w, r, http.StatusBadRequest, rrquery.ReasonMalformed, "(body): cannot be read")
}

// Limits of the wait for the first routing table, which a daemon gets within two
// round trips to the store or a peer.
const (
	maxTableWait = 300 * time.Millisecond
	// tableWaitDivisor limits the wait to this fraction of the caller's time budget.
	tableWaitDivisor = 4
)

// tableWait returns how long a request waits for the first routing table.
func (h *Handler) tableWait(header http.Header) time.Duration {
	if left := h.timeBudget(header); left > 0 {
		return min(maxTableWait, left/tableWaitDivisor)
	}
	return maxTableWait
}

// headerSize returns the approximate size of the request's header on the wire.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 2*separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// timeBudget returns how long the caller waits for the answer; zero if unspecified.
func (h *Handler) timeBudget(header http.Header) time.Duration {
	n, err := strconv.ParseInt(header.Get(h.fields.TimeLeft), 10, 32)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// endToEndHeader returns the fields that are forwarded: all but the hop-by-hop fields
// and those that the daemon sets itself.
func (h *Handler) endToEndHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", h.fields.RequestID, h.fields.TimeLeft, h.fields.ExpectedSearcher,
	} {
		out.Del(name)
	}
	return out
}

// write writes the answer, without the searcher's hop-by-hop fields.
func (h *Handler) write(w http.ResponseWriter, a *rrgateway.Answer) {
	header := w.Header()
	// Without a type from the searcher, net/http must not guess one.
	header["Content-Type"] = nil
	for name, values := range a.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", "Proxy-Connection":
		default:
			header[name] = values
		}
	}
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Std().Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
