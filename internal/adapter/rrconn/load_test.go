package rrconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func TestLoad(t *testing.T) {
	three := &rrforward.Load{Running: 1, Waiting: 2, Slots: 3}
	for name, c := range map[string]struct {
		field     string
		want      *rrforward.Load
		wantError bool
	}{
		"three values":      {"1,2,3", three, false},
		"spaces":            {" 1, 2 ,3", three, false},
		"with the pace":     {"1,2,3,250", &rrforward.Load{Running: 1, Waiting: 2, Slots: 3, SlowdownPercent: 250}, false},
		"unknown values":    {"1,2,3,100,7,x", &rrforward.Load{Running: 1, Waiting: 2, Slots: 3, SlowdownPercent: 100}, false},
		"none":              {"", nil, false},
		"too few":           {"1,2", nil, true},
		"no numbers":        {"busy", nil, true},
		"below zero":        {"1,-2,3", nil, true},
		"pace is no number": {"1,2,3,slow", nil, true},
		"overflow":          {"1,2,99999999999999999999", nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sign: s\r\nX-Load: %s\r\nContent-Length: 2\r\n\r\nok", c.field)
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			res := forward(t, newClient(t), to, newRequest("1"))
			must.Eq(t, rrupstream.OutcomeAnswered, res.Outcome, must.Sprint("a malformed load must not affect the outcome"))
			must.Eq(t, c.want, res.Load)
			must.Eq(t, c.wantError, res.LoadErr != nil, must.Sprint(res.LoadErr))
		})
	}
}
