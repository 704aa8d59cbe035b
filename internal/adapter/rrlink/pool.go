package rrlink

import (
	"context"
	"sync"
	"sync/atomic"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Pool holds a client for each peer, and the local worker for the instance
// itself. It implements rrpeers.Directory and is safe for concurrent use.
type Pool struct {
	ctx    context.Context
	codec  *Codec
	self   rrunit.InstanceID
	local  rrpeers.Worker
	report func(rrpeer.ShardReport)
	// leaving says that the instance itself leaves.
	leaving atomic.Bool

	// mu guards peers.
	mu    sync.RWMutex
	peers map[rrunit.InstanceID]*peer
}

type peer struct {
	address string
	client  *Client
}

// NewPool returns a pool whose clients end with ctx.
func NewPool(ctx context.Context, codec *Codec, self rrunit.InstanceID, local rrpeers.Worker, report func(rrpeer.ShardReport)) *Pool {
	return &Pool{
		ctx:    ctx,
		codec:  codec,
		self:   self,
		local:  local,
		report: report,
		peers:  make(map[rrunit.InstanceID]*peer),
	}
}

// Worker implements rrpeers.Directory.
func (p *Pool) Worker(id rrunit.InstanceID) rrpeers.Worker {
	if id == p.self {
		return p.local
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	if known := p.peers[id]; known != nil {
		return known.client
	}
	return nil
}

// Ready implements rrpeers.Directory.
func (p *Pool) Ready(id rrunit.InstanceID) bool {
	if id == p.self {
		return !p.leaving.Load()
	}
	p.mu.RLock()
	known := p.peers[id]
	p.mu.RUnlock()
	return known != nil && known.client.Ready()
}

// Leave makes the instance itself the last to be asked.
func (p *Pool) Leave() { p.leaving.Store(true) }

// SetPeers takes the addresses of the peers. Clients of peers that are gone or
// have moved are closed.
func (p *Pool) SetPeers(addresses map[rrunit.InstanceID]string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.peers {
		if addresses[id] != known.address {
			delete(p.peers, id)
			_ = known.client.Close()
		}
	}
	for id, address := range addresses {
		if id == p.self || p.peers[id] != nil {
			continue
		}
		client, err := Dial(p.ctx, address, p.codec, p.report)
		if err != nil {
			return err
		}
		p.peers[id] = &peer{address: address, client: client}
	}
	return nil
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.peers {
		delete(p.peers, id)
		_ = known.client.Close()
	}
}
