package rrdaemon

import (
	"sync"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// quarantineBuffer holds the quarantines that this daemon's owners have decided on
// until the next heartbeat sends them to the peers. The zero value is empty.
type quarantineBuffer struct {
	// mu guards list.
	mu   sync.Mutex
	list []rrpeer.Quarantine
}

func (b *quarantineBuffer) add(q rrpeer.Quarantine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, q)
}

func (b *quarantineBuffer) takeAll() []rrpeer.Quarantine {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = nil
	return list
}

// addLocalQuarantine quarantines a request that this daemon has found to crash
// searchers: it is refused here immediately and announced to the peers.
func (d *Daemon) addLocalQuarantine(q rrpeer.Quarantine) {
	if !d.entry.Quarantine(q) {
		return
	}
	d.newQuarantines.add(q)
	d.log.Warn("request quarantined", "fingerprint", q.Fingerprint, "for", q.TimeLeft)
}

// addPeerQuarantine quarantines a request that another daemon has found to crash
// searchers.
func (d *Daemon) addPeerQuarantine(q rrpeer.Quarantine) {
	if d.entry.Quarantine(q) {
		d.log.Warn("request quarantined by a peer", "fingerprint", q.Fingerprint, "for", q.TimeLeft)
	}
	d.owner.Quarantine(q)
}
