package rrfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
)

// The ports are below the kernel's ephemeral range, so that no outgoing
// connection takes a port before a process listens on it.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// blockSize is the number of ports that a process reserves at once.
	blockSize = 500
	blocks    = (lastPort - firstPort) / blockSize
)

// Ports allocates free loopback addresses, each only once. It reserves blocks of
// ports by listening on the first port of each, so that two processes never
// allocate the same address. It is safe for concurrent use.
type Ports struct {
	// mu guards everything below.
	mu sync.Mutex
	// next and end are the remaining ports of the newest block, end excluded.
	next, end int
	reserved  []net.Listener
}

// NewPorts returns an allocator without reserved ports.
func NewPorts() *Ports { return &Ports{} }

// Close releases the reserved blocks.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	errs := make([]error, 0, len(p.reserved))
	for _, l := range p.reserved {
		errs = append(errs, l.Close())
	}
	p.reserved = nil
	p.next, p.end = 0, 0
	return errors.Join(errs...)
}

// FreeAddress returns an address that no process listens on.
func (p *Ports) FreeAddress(ctx context.Context) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserve(ctx); err != nil {
				return "", err
			}
		}
		port := p.next
		p.next++
		l, err := listenOn(ctx, port)
		if err != nil {
			continue
		}
		return l.Addr().String(), eris.Wrap(l.Close(), "closing the listener that probed a port")
	}
}

// reserve reserves a block that no other process has. The caller holds mu.
func (p *Ports) reserve(ctx context.Context) error {
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*blockSize
		l, err := listenOn(ctx, first)
		if err != nil {
			continue
		}
		p.reserved = append(p.reserved, l)
		p.next, p.end = first+1, first+blockSize
		return nil
	}
	return eris.New("no free block of ports found on loopback")
}

func listenOn(ctx context.Context, port int) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// AssignAddresses assigns every searcher of the definition a free address.
func (p *Ports) AssignAddresses(ctx context.Context, def *rrdefinition.Definition) error {
	for i := range def.Services {
		for j := range def.Services[i].Layouts {
			if err := p.rewriteLayout(ctx, &def.Services[i].Layouts[j]); err != nil {
				return err
			}
		}
	}
	return def.Prepare()
}

func (p *Ports) rewriteLayout(ctx context.Context, l *rrdefinition.Layout) error {
	for i := range l.Shards {
		for j := range l.Shards[i].Searchers {
			address, err := p.FreeAddress(ctx)
			if err != nil {
				return err
			}
			l.Shards[i].Searchers[j].Address = address
		}
	}
	return nil
}
