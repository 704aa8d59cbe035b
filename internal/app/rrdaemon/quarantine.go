package rrdaemon

import (
	"sync"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// found gathers the quarantines that this daemon's owners found, until the next
// heartbeat takes them. The zero value is empty.
type found struct {
	// mu guards list.
	mu   sync.Mutex
	list []rrpeer.Quarantine
}

func (f *found) put(q rrpeer.Quarantine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, q)
}

func (f *found) take() []rrpeer.Quarantine {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list
	f.list = nil
	return list
}

// quarantineFound takes a request that this daemon found to crash searchers: it
// is refused here at once, and the peers are told.
func (d *Daemon) quarantineFound(q rrpeer.Quarantine) {
	if !d.entry.Quarantine(q) {
		return
	}
	d.found.put(q)
	d.log.Warn("request quarantined", "fingerprint", q.Fingerprint, "for", q.TimeLeft)
}

// quarantineTold takes a request that another daemon found to crash searchers.
func (d *Daemon) quarantineTold(q rrpeer.Quarantine) {
	if d.entry.Quarantine(q) {
		d.log.Warn("request quarantined by a peer", "fingerprint", q.Fingerprint, "for", q.TimeLeft)
	}
	d.owner.Quarantine(q)
}
