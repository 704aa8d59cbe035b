// Package rrplatform is the HTTP client of the platform's object API and instance
// list. Object versions are sent as entity tags; docs/design/platform.md has the
// protocol.
package rrplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Limits of the calls.
const (
	defaultTimeout = 2 * time.Second
	longPollTime   = 30 * time.Second
	maxListBytes   = 16 << 20
)

// Client implements rrstore.Store and rrstore.Lister.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the time limit of each call. Watches may take longPollTime more.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client for the platform at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{Transport: &http.Transport{MaxConnsPerHost: 16, IdleConnTimeout: time.Minute}},
		timeout: defaultTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) objectURL(key rrstore.Key) string {
	return c.base + "/v1/objects/" + url.PathEscape(string(key))
}

// Get implements rrstore.Store.
func (c *Client) Get(ctx context.Context, key rrstore.Key) (rrstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.getObject(ctx, key, c.objectURL(key))
}

// Watch implements rrstore.Store by long polling.
func (c *Client) Watch(ctx context.Context, key rrstore.Key, after rrstore.Version) (rrstore.Object, error) {
	target := fmt.Sprintf("%s?after=%d&wait=%s", c.objectURL(key), after, longPollTime)
	for {
		requestCtx, cancel := context.WithTimeout(ctx, longPollTime+c.timeout)
		o, err := c.getObject(requestCtx, key, target)
		cancel()
		if ctx.Err() != nil {
			return rrstore.Object{}, eris.Wrapf(ctx.Err(), "watching object %s", key)
		}
		if err != nil || o.Version > after {
			return o, err
		}
	}
}

func (c *Client) getObject(ctx context.Context, key rrstore.Key, target string) (rrstore.Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return rrstore.Object{}, eris.Wrapf(err, "building the request for object %s", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return rrstore.Object{}, eris.Wrapf(rrstore.ErrUnavailable, "reading object %s: %v", key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return decodeObject(key, resp)
	case http.StatusNotModified:
		return rrstore.Object{Key: key}, nil
	case http.StatusNotFound:
		return rrstore.Object{}, eris.Wrapf(rrstore.ErrNotFound, "reading object %s", key)
	}
	return rrstore.Object{}, eris.Wrapf(rrstore.ErrUnavailable, "reading object %s: %s", key, resp.Status)
}

func decodeObject(key rrstore.Key, resp *http.Response) (rrstore.Object, error) {
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return rrstore.Object{}, eris.Wrapf(rrstore.ErrUnavailable, "reading object %s: %v", key, err)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, int64(rrstore.MaxValueSize)+1))
	if err != nil {
		return rrstore.Object{}, eris.Wrapf(rrstore.ErrUnavailable, "reading object %s: %v", key, err)
	}
	if len(value) > int(rrstore.MaxValueSize) {
		return rrstore.Object{}, eris.Wrapf(rrstore.ErrUnavailable, "object %s is longer than %d bytes", key, rrstore.MaxValueSize)
	}
	return rrstore.Object{Key: key, Version: version, Value: value}, nil
}

func parseETag(tag string) (rrstore.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, eris.Errorf("entity tag %q is not a version", tag)
	}
	return rrstore.Version(n), nil
}

// Put implements rrstore.Store.
func (c *Client) Put(ctx context.Context, key rrstore.Key, value []byte, base rrstore.Version) (rrstore.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), bytes.NewReader(value))
	if err != nil {
		return 0, eris.Wrapf(err, "building the request to write object %s", key)
	}
	// The transport must not retry a write, since the first may have taken effect.
	req.GetBody = nil
	if base == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", fmt.Sprintf("%q", strconv.FormatUint(uint64(base), 10)))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, eris.Wrapf(rrstore.ErrUncertain, "writing object %s: %v", key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return parseETag(resp.Header.Get("ETag"))
	case http.StatusPreconditionFailed:
		return 0, eris.Wrapf(rrstore.ErrConflict, "writing object %s", key)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, eris.Wrapf(rrstore.ErrUnavailable, "writing object %s: %s", key, resp.Status)
	}
	return 0, eris.Wrapf(rrstore.ErrUncertain, "writing object %s: %s", key, resp.Status)
}

// List implements rrstore.Lister.
func (c *Client) List(ctx context.Context) (rrstore.List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return rrstore.List{}, eris.Wrap(err, "building the request for the instance list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return rrstore.List{}, eris.Wrapf(rrstore.ErrUnavailable, "reading the instance list: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rrstore.List{}, eris.Wrapf(rrstore.ErrUnavailable, "reading the instance list: %s", resp.Status)
	}
	var l rrstore.List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&l); err != nil {
		return rrstore.List{}, eris.Wrapf(rrstore.ErrUnavailable, "decoding the instance list: %v", err)
	}
	return l, nil
}
