// Package rrhttp implements the HTTP APIs for callers and operators, and HTTP servers
// that can drain. It decodes, checks and encodes; it makes no decisions of its own.
package rrhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrmemory"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// envelopeBytes allows for a query's fields other than its body.
	envelopeBytes = 8 << 10
	// copiesPerRequest is how many copies of a request are in memory: as read and as
	// decoded.
	copiesPerRequest = 2
	// defaultMemoryBytes is the default memory budget of the requests in progress.
	defaultMemoryBytes = 64 << 20
	// answerTimeout is how long a caller may take to read its answer.
	answerTimeout = 10 * time.Second
)

// QueryService answers queries.
type QueryService interface {
	// Definition returns the current definition, or nil before the first.
	Definition() *rrdefinition.Definition
	// Ready reports whether queries can be served.
	Ready() bool
	// Serve answers one query within its deadline.
	Serve(ctx context.Context, q *rrquery.Query) *rrquery.Answer
}

// Problem is the body of a response to a malformed request, which was not run.
type Problem struct {
	Error  string `json:"error"`
	Field  string `json:"field,omitempty"`
	NotRun bool   `json:"notrun"`
}

// CallerAPI serves the callers' port.
type CallerAPI struct {
	service QueryService
	leaving func() bool
	// querySlots is a semaphore that bounds the queries in progress.
	querySlots chan struct{}
	// memory is the budget that all requests share, in bytes.
	memory        *rrmemory.Budget
	answerTimeout time.Duration
}

// CallerAPIOption configures a CallerAPI.
type CallerAPIOption func(*CallerAPI)

// WithMemoryLimit bounds the memory that the requests in progress use.
func WithMemoryLimit(n rrunit.Bytes) CallerAPIOption {
	return func(c *CallerAPI) { c.memory = rrmemory.NewBudget(int64(n)) }
}

// WithAnswerTimeout sets how long a caller may take to read its answer.
func WithAnswerTimeout(d time.Duration) CallerAPIOption {
	return func(c *CallerAPI) { c.answerTimeout = d }
}

// NewCallerAPI returns the API of the callers' port. At most maxQueries queries are in
// progress at once. While leaving returns true, the health check fails.
func NewCallerAPI(service QueryService, maxQueries int, leaving func() bool, opts ...CallerAPIOption) *CallerAPI {
	c := &CallerAPI{
		service:       service,
		leaving:       leaving,
		querySlots:    make(chan struct{}, maxQueries),
		memory:        rrmemory.NewBudget(defaultMemoryBytes),
		answerTimeout: answerTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Handler returns the routes.
func (c *CallerAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", c.query)
	mux.HandleFunc("GET /healthz", c.health)
	return mux
}

func (c *CallerAPI) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case c.leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !c.service.Ready():
		http.Error(w, "no definition or no members yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func (c *CallerAPI) query(w http.ResponseWriter, r *http.Request) {
	if c.leaving() {
		// The caller must open another connection for its next request.
		w.Header().Set("Connection", "close")
	}
	def := c.service.Definition()
	if def == nil {
		writeRefusal(w, http.StatusServiceUnavailable, rrquery.ReasonStore, "no definition is known yet")
		return
	}
	body := c.memory.NewReader(http.MaxBytesReader(w, r.Body, int64(def.Limits.Body)+envelopeBytes), rrmemory.WithCopies(copiesPerRequest))
	defer body.Release()
	b, err := io.ReadAll(body)
	if errors.Is(err, rrmemory.ErrExhausted) {
		writeRefusal(w, http.StatusTooManyRequests, rrquery.ReasonOverload, err.Error())
		return
	}
	if err != nil {
		WriteProblem(w, bodyError(err))
		return
	}
	q, err := rrquery.Decode(b, def)
	if err != nil {
		WriteProblem(w, err)
		return
	}
	c.serve(w, r, q)
}

// serve answers a query that was read completely, so that slow callers don't occupy
// query slots.
func (c *CallerAPI) serve(w http.ResponseWriter, r *http.Request, q *rrquery.Query) {
	select {
	case c.querySlots <- struct{}{}:
		defer func() { <-c.querySlots }()
	default:
		writeRefusal(w, http.StatusTooManyRequests, rrquery.ReasonOverload, "too many queries are under way")
		return
	}
	a := c.service.Serve(r.Context(), q)
	// The caller's time to read the answer starts here, not with the request.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.answerTimeout))
	writeAnswer(w, a)
}

func bodyError(err error) error {
	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return rrunit.Invalid("(body)", "has more than %d bytes", tooLarge.Limit)
	}
	return eris.Wrap(err, "reading the request")
}

// defaultRetryAfter is the Retry-After time of requests refused before processing.
const defaultRetryAfter = rrunit.Duration(time.Second)

func writeRefusal(w http.ResponseWriter, status int, reason rrquery.Reason, message string) {
	a := &rrquery.Answer{
		Outcome:    rrquery.OutcomeRefused,
		NotRun:     true,
		Reason:     reason,
		Message:    message,
		RetryAfter: defaultRetryAfter,
		Covered:    []rrunit.ShardName{},
		Missing:    []rrquery.Missing{},
		Hits:       []rrquery.Hit{},
	}
	writeStatus(w, status, a)
}

func writeAnswer(w http.ResponseWriter, a *rrquery.Answer) { writeStatus(w, a.Status(), a) }

func writeStatus(w http.ResponseWriter, status int, a *rrquery.Answer) {
	writeRetryAfter(w, a.RetryAfter)
	WriteJSON(w, status, a)
}

// writeRetryAfter sets Retry-After, in whole seconds, unless d is zero.
func writeRetryAfter(w http.ResponseWriter, d rrunit.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Std().Seconds()))))
	}
}

// WriteJSON writes v as the whole response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteProblem answers a malformed request and names the invalid field.
func WriteProblem(w http.ResponseWriter, err error) {
	p := Problem{Error: err.Error(), NotRun: true}
	if fe, ok := errors.AsType[*rrunit.FieldError](err); ok {
		p.Field = fe.Field
	}
	WriteJSON(w, http.StatusBadRequest, p)
}
