package rrproxy_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/soak/rrproxy"
)

// echo starts a server that answers each line with itself, and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestFaults(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	p, err := rrproxy.New(t.Context(), address, echo(t))
	must.NoError(t, err)
	defer p.Close()

	dial := func() net.Conn {
		c, err := net.Dial("tcp4", address)
		must.NoError(t, err)
		return c
	}
	// roundTrip returns the round-trip time of a line, and whether its echo arrived.
	roundTrip := func(c net.Conn) (time.Duration, bool) {
		start := time.Now()
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write([]byte("x\n"))
		_, err := bufio.NewReader(c).ReadString('\n')
		return time.Since(start), err == nil
	}
	c := dial()
	_, ok := roundTrip(c)
	must.True(t, ok)

	p.SetFault(rrproxy.Fault{Delay: 50 * time.Millisecond})
	took, ok := roundTrip(c)
	must.True(t, ok)
	must.Greater(t, 90*time.Millisecond, took)

	for _, fault := range []rrproxy.Fault{{BlockTo: true}, {BlockFrom: true}, {BlockTo: true, BlockFrom: true}} {
		p.SetFault(fault)
		_, ok = roundTrip(c)
		must.False(t, ok)
		p.SetFault(rrproxy.Fault{})
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, err = bufio.NewReader(c).ReadString('\n')
		must.NoError(t, err, must.Sprint("blocked bytes arrive once the fault ends"))
	}

	p.SetFault(rrproxy.Fault{BlockOpen: true})
	_, ok = roundTrip(c)
	must.False(t, ok)
	_, ok = roundTrip(dial())
	must.True(t, ok, must.Sprint("a connection of after the fault began is not blocked"))
	p.SetFault(rrproxy.Fault{})
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = bufio.NewReader(c).ReadString('\n')
	must.NoError(t, err)

	p.SetFault(rrproxy.Fault{Reset: true})
	_, ok = roundTrip(c)
	must.False(t, ok, must.Sprint("an open connection is reset"))
	// The reset of a new connection can arrive before or after the dial returns.
	again, err := net.Dial("tcp4", address)
	if err != nil {
		must.ErrorIs(t, err, syscall.ECONNRESET)
	} else {
		_, ok = roundTrip(again)
		must.False(t, ok, must.Sprint("a new connection is reset"))
	}
	p.SetFault(rrproxy.Fault{})
	_, ok = roundTrip(dial())
	must.True(t, ok)
}

// A process that has ended refuses connections once its callers see the end of theirs, also
// behind the proxy.
func TestProxyRefusesWhileItsTargetDoes(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, free.Close())
	p, err := rrproxy.New(t.Context(), free.Addr().String(), target.Addr().String())
	must.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp4", free.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	peer, err := target.Accept()
	must.NoError(t, err)
	must.NoError(t, target.Close())
	must.NoError(t, peer.Close())
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	_, err = net.Dial("tcp4", free.Addr().String())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)

	target, err = net.Listen("tcp4", target.Addr().String())
	must.NoError(t, err)
	defer func() { _ = target.Close() }()
	end := time.Now().Add(5 * time.Second)
	for err = syscall.ECONNREFUSED; err != nil; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("the proxy does not listen again"))
		var again net.Conn
		if again, err = net.Dial("tcp4", free.Addr().String()); err == nil {
			_ = again.Close()
		}
	}
}
