package rrconn

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Times that a connection stays idle in the pool.
const (
	// maxIdleTimeout bounds the idle time, also for searchers that announce none.
	maxIdleTimeout = 30 * time.Second
	// idleMargin is how long before the searcher's own idle timeout a connection is
	// no longer used, so that no request is sent while the searcher closes it.
	idleMargin = 500 * time.Millisecond
)

const (
	// closeInterval is the time between two checks for connections that have timed out.
	closeInterval = time.Second
	// poolTimeout is how long the pool of a searcher is kept without use. It is longer than
	// any request, which has one of its connections meanwhile.
	poolTimeout = 10 * time.Minute
)

// minProcessingTime is the shortest time in which a searcher processes a request.
const minProcessingTime = time.Millisecond

// pool holds the idle connections to one process of a searcher.
type pool struct {
	address netip.AddrPort
	born    int64

	// mu guards the fields below.
	mu sync.Mutex
	// maxIdle bounds the number of idle connections, and idleTimeout how long each
	// of them stays idle.
	maxIdle     int
	idleTimeout time.Duration
	// lastUse is when the pool was last asked for.
	lastUse time.Time
	// idle is ordered by last use, the most recent at the end.
	idle   []*persistConn
	closed bool
	// minResponseTime is the shortest response time so far; zero before the first
	// response.
	minResponseTime time.Duration
}

// get removes and returns an idle connection that is fit for the request, or nil.
func (p *pool) get(now time.Time, id rrunit.RequestID) *persistConn {
	for {
		pc := p.popIdle(now, id)
		if pc == nil {
			return nil
		}
		if now.Before(pc.idleDeadline) && pc.isOpenAndIdle() {
			return pc
		}
		pc.close()
	}
}

// hasOpen reports whether an idle connection is open, and closes those that are not.
func (p *pool) hasOpen(now time.Time) bool {
	pc := p.get(now, "")
	if pc == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		pc.close()
		return false
	}
	p.idle = append(p.idle, pc)
	return true
}

// use records that the pool is used, and sets how many connections stay idle, and for how
// long; zero means as long as the searcher keeps them open.
func (p *pool) use(now time.Time, maxIdle int, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = maxIdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUse, p.maxIdle, p.idleTimeout = now, maxIdle, idleTimeout
}

// closeUnused closes the connections that have timed out. It closes the pool and returns true
// if it has not been used for poolTimeout.
func (p *pool) closeUnused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(pc *persistConn) bool {
		if now.Before(pc.idleDeadline) {
			return false
		}
		pc.close()
		return true
	})
	if len(p.idle) > 0 || now.Sub(p.lastUse) <= poolTimeout {
		return false
	}
	p.closed = true
	return true
}

// popIdle removes and returns the connection that was used last, of those on which the
// request was not refused before.
func (p *pool) popIdle(now time.Time, id rrunit.RequestID) *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, pc := range slices.Backward(p.idle) {
		if !pc.unanswered.contains(now, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return pc
		}
	}
	return nil
}

// idleCount returns the number of idle connections that have not timed out.
func (p *pool) idleCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pc := range p.idle {
		if now.Before(pc.idleDeadline) {
			n++
		}
	}
	return n
}

func (p *pool) put(pc *persistConn, now time.Time) {
	pc.reusable = false
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.idleDeadline = now.Add(min(pc.idleTimeout-idleMargin, p.idleTimeout))
	if p.closed {
		pc.close()
		return
	}
	for len(p.idle) > 0 && !now.Before(p.idle[0].idleDeadline) {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.idle = append(p.idle, pc)
	for len(p.idle) > p.maxIdle {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

// recordResponseTime updates the shortest response time.
func (p *pool) recordResponseTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.minResponseTime == 0 || took < p.minResponseTime {
		p.minResponseTime = took
	}
}

// fastestResponse returns the shortest response time so far; zero before the first
// response.
func (p *pool) fastestResponse() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minResponseTime
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pc := range p.idle {
		pc.close()
	}
	p.idle = nil
}

// persistConn is a persistent connection to a searcher. One goroutine uses it at a
// time.
type persistConn struct {
	conn net.Conn
	// r reads from limit, which reads from conn.
	r     *bufio.Reader
	limit *responseLimiter
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
	// idleTimeout is the searcher's idle timeout; idleDeadline is when the
	// connection is no longer used.
	idleTimeout  time.Duration
	idleDeadline time.Time
	// used is set once the connection has carried a response.
	used bool
	// reusable is set if the connection is fit for another exchange after the last.
	reusable bool
	// unanswered has the requests that the searcher refused or failed on the connection. None
	// of them is sent on it again: a late copy of the response could not be distinguished
	// from the response to the second sending.
	unanswered sentRequests
}

func newPersistConn(conn net.Conn, opened time.Duration, held *atomic.Int64) *persistConn {
	l := &responseLimiter{r: conn, buffered: held}
	return &persistConn{conn: conn, r: bufio.NewReaderSize(l, readBufferBytes), limit: l, dialTime: opened, idleTimeout: maxIdleTimeout}
}

func (pc *persistConn) close() { _ = pc.conn.Close() }

// isOpenAndIdle reports whether the connection is open and has nothing to read.
// Bytes that arrive after a response belong to no request.
func (pc *persistConn) isOpenAndIdle() bool {
	if pc.r.Buffered() > 0 {
		return false
	}
	sc, ok := pc.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	// With the expired deadline of the last request, the read would fail at once.
	if err := pc.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
