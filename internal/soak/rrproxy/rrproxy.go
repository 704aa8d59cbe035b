// Package rrproxy is a TCP proxy on loopback that injects faults into the
// connections through it. It does not interpret their bytes. While its target does not listen,
// it does not listen either, as a process that has ended refuses connections.
package rrproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is the fault that a proxy injects. The zero Fault injects none.
type Fault struct {
	// Reset resets open connections and each new one.
	Reset bool
	// BlockTo and BlockFrom hold back the bytes to and from the target until the
	// fault ends.
	BlockTo, BlockFrom bool
	// BlockOpen does both on the connections that are open when the fault begins.
	BlockOpen bool
	// Delay is added to every chunk, in each direction.
	Delay time.Duration
}

// Proxy forwards the connections of one address to another. It is safe for
// concurrent use.
type Proxy struct {
	// ctx cancels dials in progress.
	ctx             context.Context
	address, target string
	wg              sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// listener is nil while the target does not listen.
	listener net.Listener
	fault    Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// accepted counts the connections, and acceptedBefore those before the fault.
	accepted, acceptedBefore int
}

// bufferSizeBytes is the most that is read and delayed as one chunk.
const bufferSizeBytes = 32 << 10

// New starts a proxy at the address.
func New(ctx context.Context, address, target string) (*Proxy, error) {
	p := &Proxy{ctx: ctx, address: address, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	return p, p.listen()
}

// listen starts to accept connections, unless the proxy is closed.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(p.ctx, "tcp4", p.address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", p.address)
	}
	p.listener = l
	p.wg.Go(func() { p.accept(l) })
	return nil
}

const (
	// checkInterval is the time between two checks whether the target listens again.
	checkInterval = 2 * time.Millisecond
	// checkTimeout bounds a check. A suspended target neither accepts nor refuses.
	checkTimeout = 300 * time.Millisecond
)

// checkTarget stops listening if the target refuses connections, until it listens again.
func (p *Proxy) checkTarget() {
	if !p.targetRefuses() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.closed {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	p.wg.Go(func() {
		for p.targetRefuses() || p.listen() != nil {
			if !p.sleep(checkInterval) {
				return
			}
		}
	})
}

func (p *Proxy) targetRefuses() bool {
	d := net.Dialer{Timeout: checkTimeout}
	conn, err := d.DialContext(p.ctx, "tcp4", p.target)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// sleep returns false if the proxy is closed.
func (p *Proxy) sleep(d time.Duration) bool {
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.ctx.Err() == nil
}

// SetFault replaces the injected fault, also for open connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.acceptedBefore = f, p.accepted
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Reset {
		p.resetAll()
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
	p.mu.Unlock()
	p.wg.Wait()
}

// resetAll resets all connections. The caller holds mu.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(c) })
	}
}

// register adds a connection to the open ones. It returns false if the proxy is
// closed or resets new connections.
func (p *Proxy) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Reset || p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) forward(in net.Conn) {
	if !p.register(in) {
		reset(in)
		return
	}
	defer p.remove(in)
	p.mu.Lock()
	p.accepted++
	number := p.accepted
	p.mu.Unlock()
	var d net.Dialer
	out, err := d.DialContext(p.ctx, "tcp4", p.target)
	if err != nil {
		p.checkTarget()
		reset(in)
		return
	}
	if !p.register(out) {
		reset(out)
		reset(in)
		return
	}
	defer p.remove(out)
	var copies sync.WaitGroup
	// Called with mu held.
	isBlockedOpen := func() bool { return p.fault.BlockOpen && number <= p.acceptedBefore }
	copies.Go(func() { p.copy(out, in, func(f Fault) bool { return f.BlockTo || isBlockedOpen() }, func() {}) })
	copies.Go(func() { p.copy(in, out, func(f Fault) bool { return f.BlockFrom || isBlockedOpen() }, p.checkTarget) })
	copies.Wait()
}

func (p *Proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy forwards bytes until one side closes, and forwards the close: EOF as a
// half-close, a reset as a reset. It calls onEnd before that.
func (p *Proxy) copy(to, from net.Conn, blocked func(Fault) bool, onEnd func()) {
	buf := make([]byte, bufferSizeBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitUnblocked(blocked) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			onEnd()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		default:
			reset(to)
			return
		}
	}
}

// waitUnblocked applies the delay to a chunk and holds it while its direction is
// blocked. It returns false if the proxy is closed.
func (p *Proxy) waitUnblocked(blocked func(Fault) bool) bool {
	p.mu.Lock()
	delay := p.fault.Delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		isBlocked, changed, closed := blocked(p.fault), p.changed, p.closed
		p.mu.Unlock()
		if closed || !isBlocked {
			return !closed
		}
		<-changed
	}
}
