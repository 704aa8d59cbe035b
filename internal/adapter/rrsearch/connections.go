package rrsearch

import (
	"context"
	"maps"
	"net"
	"sync"
)

// dialer counts the open connections to each address.
type dialer struct {
	net.Dialer

	// mu guards counts, which has only addresses with open connections.
	mu     sync.Mutex
	counts map[string]int
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.add(address, 1)
	return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { d.add(address, -1) })}, nil
}

func (d *dialer) add(address string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[address] += n
	if d.counts[address] == 0 {
		delete(d.counts, address)
	}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Connections returns the number of open connections to each address that has any.
func (c *Client) Connections() map[string]int {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	return maps.Clone(c.dialer.counts)
}
