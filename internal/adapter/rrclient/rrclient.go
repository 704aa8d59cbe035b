// Package rrclient is an HTTP client for the callers' and operators' ports of daemons.
// It falls back to the next address if one does not answer.
package rrclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrstatus"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
)

// Limits of the calls.
const (
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// Response is a daemon's HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Client calls the first of its addresses that answers, except in Query.
type Client struct {
	addresses []string
	http      *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the time limit of each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// New returns a client for the addresses, each an IP address and a port.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{addresses: addresses, http: &http.Client{
		Timeout:   defaultTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call tries each address until one answers with a status other than retryStatuses.
// If none does, it returns the last answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, retryStatuses ...int) (*Response, error) {
	var last *Response
	var errs []error
	for _, address := range c.addresses {
		r, err := c.callAddress(ctx, method, "http://"+address+path, body)
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "calling %s", address))
			continue
		}
		last = r
		if !slices.Contains(retryStatuses, r.Status) {
			return r, nil
		}
	}
	if last != nil {
		return last, nil
	}
	return nil, errors.Join(errs...)
}

func (c *Client) callAddress(ctx context.Context, method, target string, body []byte) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := rrstatus.Check(resp.StatusCode); err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return &Response{Status: resp.StatusCode, Body: b}, err
}

// responseError returns the error that a daemon reports in its response.
func responseError(r *Response) error {
	var p rrhttp.Problem
	if err := json.Unmarshal(r.Body, &p); err != nil || p.Error == "" {
		return eris.Errorf("status %d: %.200s", r.Status, bytes.TrimSpace(r.Body))
	}
	return eris.Errorf("status %d: %s", r.Status, p.Error)
}

// Definition returns a daemon's current definition as JSON.
func (c *Client) Definition(ctx context.Context) ([]byte, error) {
	return c.get(ctx, "/v1/definition", http.StatusServiceUnavailable)
}

// Dump returns the state dump of the instance as JSON.
func (c *Client) Dump(ctx context.Context, id rrunit.InstanceID) ([]byte, error) {
	path := "/v1/dump?instance=" + url.QueryEscape(string(id))
	return c.get(ctx, path, http.StatusNotFound)
}

func (c *Client) get(ctx context.Context, path string, retryStatus int) ([]byte, error) {
	r, err := c.call(ctx, http.MethodGet, path, nil, retryStatus)
	if err != nil {
		return nil, err
	}
	if r.Status != http.StatusOK {
		return nil, responseError(r)
	}
	return r.Body, nil
}

// Status returns a daemon's view of which definition number all daemons have applied.
func (c *Client) Status(ctx context.Context) (*rrmember.Status, error) {
	b, err := c.get(ctx, "/v1/status", http.StatusServiceUnavailable)
	if err != nil {
		return nil, err
	}
	var s rrmember.Status
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, eris.Wrap(err, "decoding the status")
	}
	return &s, nil
}

// Patch submits a change of the definition. Every outcome is returned as a value, also
// a refusal. An error means that no daemon returned an outcome; the change may have
// taken effect.
func (c *Client) Patch(ctx context.Context, s *rrpatch.Submission) (*rrhttp.PatchResponse, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the submission")
	}
	r, err := c.call(ctx, http.MethodPost, "/v1/definition/patch", body)
	if err != nil {
		return nil, err
	}
	var p rrhttp.PatchResponse
	if err := json.Unmarshal(r.Body, &p); err != nil {
		return nil, responseError(r)
	}
	if p.Outcome == "" && r.Status == http.StatusBadRequest {
		p.Outcome = rrpatch.OutcomeInvalid
	}
	if p.Outcome == "" {
		return nil, responseError(r)
	}
	return &p, nil
}

// Query sends one query to the first address only, since a retry is the caller's
// decision. For a malformed query it returns a FieldError.
func (c *Client) Query(ctx context.Context, q *rrquery.Query) (*rrquery.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the query")
	}
	r, err := c.callAddress(ctx, http.MethodPost, "http://"+c.addresses[0]+"/v1/query", body)
	if err != nil {
		return nil, eris.Wrapf(err, "querying %s", c.addresses[0])
	}
	var p rrhttp.Problem
	if r.Status == http.StatusBadRequest && json.Unmarshal(r.Body, &p) == nil && p.Error != "" {
		return nil, &rrunit.FieldError{Field: "query", Problem: p.Error}
	}
	var a rrquery.Answer
	if err := json.Unmarshal(r.Body, &a); err != nil || a.Outcome == "" {
		return nil, responseError(r)
	}
	return &a, nil
}
