package rrconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrconn"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The request limit is read from answers and refusals alike.
func TestRequestLimit(t *testing.T) {
	limit := rrunit.Rate(7)
	decode := func(header http.Header) (*rrunit.Rate, error) {
		switch header.Get("X-Limit") {
		case "":
			return nil, nil
		case "7":
			return &limit, nil
		default:
			return nil, rrunit.Invalid("X-Limit", "is no number")
		}
	}
	for name, c := range map[string]struct {
		status, field string
		want          *rrunit.Rate
		wantErr       bool
	}{
		"answer":           {"200 OK", "X-Limit: 7\r\n", &limit, false},
		"refusal":          {"503 X", "X-Not-Run: 1\r\nX-Limit: 7\r\n", &limit, false},
		"failure":          {"500 X", "X-Limit: 7\r\n", &limit, false},
		"answer without":   {"200 OK", "", nil, false},
		"unreadable limit": {"200 OK", "X-Limit: many\r\n", nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.status+"\r\n"+idHeader+"X-Sign: s\r\n"+c.field+"Content-Length: 0\r\n\r\n")
				}
			})
			client := rrconn.New(fields(), rrconn.WithLimitDecoder(decode))
			t.Cleanup(client.Close)
			res := forward(t, client, to, newRequest("1"))
			must.Eq(t, c.want, res.RequestLimit)
			must.Eq(t, c.wantErr, res.RequestLimitErr != nil)
		})
	}
}
