package rre2e_test

import (
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// tcpProxy forwards connections to an address and closes them on demand.
type tcpProxy struct {
	listener net.Listener
	target   string
	// pauseMu is write-locked while forwarding is paused.
	pauseMu sync.RWMutex

	mu    sync.Mutex
	conns []net.Conn
}

func startProxy(t *testing.T, to string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", freePort(t))
	must.NoError(t, err)
	r := &tcpProxy{listener: l, target: to}
	t.Cleanup(func() { _ = l.Close(); r.closeConnections() })
	go r.accept()
	return r
}

func (r *tcpProxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.forward(out, in)
		go r.forward(in, out)
	}
}

// forward copies data until one side closes. While forwarding is paused, neither
// data nor the close of a side is forwarded.
func (r *tcpProxy) forward(to, from net.Conn) {
	defer func() {
		r.pauseMu.RLock()
		_ = to.Close()
		r.pauseMu.RUnlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.pauseMu.RLock()
		_, err = to.Write(buf[:n])
		r.pauseMu.RUnlock()
		if err != nil {
			return
		}
	}
}

// closeConnections closes every connection immediately.
func (r *tcpProxy) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}
