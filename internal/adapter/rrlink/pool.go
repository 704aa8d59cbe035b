package rrlink

import (
	"context"
	"sync"
	"sync/atomic"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Pool holds a client for each peer, and the worker of the local instance. It
// implements rrpeers.Directory and is safe for concurrent use.
type Pool struct {
	ctx    context.Context
	codec  *Codec
	self   rrunit.InstanceID
	local  rrpeers.Worker
	report func(rrpeer.ShardReport)
	// leaving is set once the local instance is leaving.
	leaving atomic.Bool

	// mu guards peers.
	mu    sync.RWMutex
	peers map[rrunit.InstanceID]*peer
}

type peer struct {
	address string
	client  *Client
}

// NewPool returns a pool whose clients stop when ctx ends.
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
	if existing := p.peers[id]; existing != nil {
		return existing.client
	}
	return nil
}

// Ready implements rrpeers.Directory.
func (p *Pool) Ready(id rrunit.InstanceID) bool {
	if id == p.self {
		return !p.leaving.Load()
	}
	p.mu.RLock()
	existing := p.peers[id]
	p.mu.RUnlock()
	return existing != nil && existing.client.Ready()
}

// SetLeaving marks the local instance as leaving, so that Ready returns false for it.
func (p *Pool) SetLeaving() { p.leaving.Store(true) }

// SetPeers sets the addresses of the peers. It closes the clients of peers that were
// removed or have a new address.
func (p *Pool) SetPeers(addresses map[rrunit.InstanceID]string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, existing := range p.peers {
		if addresses[id] != existing.address {
			delete(p.peers, id)
			_ = existing.client.Close()
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
	for id, existing := range p.peers {
		delete(p.peers, id)
		_ = existing.client.Close()
	}
}
