// Package rrforward is the port to searchers that receive callers' requests
// unchanged: one request, one response. It holds no implementation.
package rrforward

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Request is a caller's request to be forwarded. It is immutable and may be sent
// more than once.
type Request struct {
	Method string
	// URI is the path and query exactly as sent by the caller.
	URI  string
	Host string
	// Header holds only the end-to-end fields.
	Header Header
	Body   []byte
	// ID is the caller's id of the request.
	ID rrunit.RequestID
	// Idempotent requests may be resent if it is uncertain whether they ran.
	Idempotent bool
}

// Header is a header in wire format, encoded once for all searchers.
type Header []byte

// EncodeHeader returns the header in wire format.
func EncodeHeader(h http.Header) Header {
	var b bytes.Buffer
	// Writing to a buffer cannot fail.
	_ = h.Write(&b)
	return b.Bytes()
}

// Target is a searcher and the process that is assumed to run at its address.
type Target struct {
	ID          rrunit.SearcherID
	Address     netip.AddrPort
	Incarnation int64
	// MaxIdleConnections is the largest number of idle connections to the searcher, at
	// least 1, and IdleTimeout is how long an idle connection is kept.
	MaxIdleConnections int
	IdleTimeout        time.Duration
}

// Load is the load that a searcher reports in a response.
type Load struct {
	// Running and Waiting count the requests of all callers; Slots is the number
	// that can run concurrently.
	Running, Waiting, Slots int
	// SlowdownPercent is the time that work currently takes on the searcher's machine, in
	// percent of the usual time; zero if it was not reported.
	SlowdownPercent int
}

// Response is the result of one attempt.
type Response struct {
	Outcome rrupstream.Outcome
	// Err is the error if Outcome is not an answer.
	Err error
	// Status, Header and Body are set if the searcher's answer is complete.
	Status int
	Header http.Header
	Body   []byte
	// Signature is the searcher's proof that the answer comes from it.
	Signature string
	// Load is nil if the searcher reported none, or if the report is not readable;
	// in the latter case, LoadErr is the error.
	Load    *Load
	LoadErr error
	// RequestLimit is nil if the searcher named none, or if it is not readable; in the
	// latter case, RequestLimitErr is the error.
	RequestLimit    *rrunit.Rate
	RequestLimitErr error
	// Notice is what the searcher says of itself. What is not readable is left out, and
	// NoticeErr is the error.
	Notice    Notice
	NoticeErr error
	// NewConnection is true if a new connection was opened for the attempt.
	NewConnection bool
}

// IsBroken reports whether an answer had begun and was not complete or not readable.
func (r *Response) IsBroken() bool {
	return r.Outcome == rrupstream.OutcomeFailed && r.Status == 0
}

// LimitDecoder returns the request rate that a searcher accepts from all daemons
// together, by the header of its response; nil if the response names none.
type LimitDecoder func(http.Header) (*rrunit.Rate, error)

// Notice is what a searcher says of the requests that it wants from a daemon.
type Notice struct {
	// Leaving is set if it wants no more, as it leaves.
	Leaving bool
	// Pause is how long it wants none; zero if it does not say.
	Pause rrunit.Duration
}

// NoticeDecoder returns the notice in a searcher's answer, by its status and header. It
// returns the readable part with an error.
type NoticeDecoder func(status int, header http.Header) (Notice, error)

// Forwarder sends requests to searchers.
type Forwarder interface {
	// Forward runs one attempt. It returns when the response is complete, the time
	// left has passed, or ctx ends, which closes the connection.
	Forward(ctx context.Context, to Target, req *Request, left time.Duration) Response
	// IsDead reports whether the searcher's process has ended: none of the idle
	// connections is open, and a new one is refused.
	IsDead(ctx context.Context, to Target) bool
	// IdleConnections returns the number of open idle connections to the searcher.
	IdleConnections(to Target) int
	// Connect opens an idle connection to the searcher if there is none.
	Connect(ctx context.Context, to Target) error
}

// HeaderNames are the names of the header fields by which callers, the system and
// searchers extend HTTP.
type HeaderNames struct {
	// RequestID holds the caller's id of the request; searchers echo it.
	RequestID string
	// TimeLeft holds the time that the sender waits for the answer, in milliseconds.
	TimeLeft string
	// Signature holds the searcher's proof that the answer comes from it.
	Signature string
	// ExpectedSearcher holds the id of the searcher that the request is meant for.
	ExpectedSearcher string
	// Load holds the searcher's running and waiting requests, its slots and,
	// optionally, its slowdown.
	Load string
	// NotRun marks the answer of a searcher that did not run the request.
	NotRun string
	// ShardSignatures holds the signatures of the shards in a merged answer.
	ShardSignatures string
	// MissingShards holds the number of shards that are missing from a merged answer.
	MissingShards string
}
