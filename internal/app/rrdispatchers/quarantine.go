package rrdispatchers

import (
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// quarantineAndAnnounce refuses a request at all services, since one request can go
// to many services at once, and passes the quarantine on to the other daemons.
func (p *Dispatchers) quarantineAndAnnounce(name rrunit.ServiceName, q rrpeer.Quarantine) {
	p.log.StateChange("request quarantined", "service", name, "fingerprint", q.Fingerprint, "for", q.TimeLeft, "source", "own")
	p.metrics.Count(rrmetrics.GroupQuarantines, "own")
	p.applyQuarantine(q)
	p.onQuarantine(q)
}

// Quarantine applies a quarantine that another daemon decided on.
func (p *Dispatchers) Quarantine(q rrpeer.Quarantine) {
	if p.applyQuarantine(q) {
		p.log.StateChange("request quarantined", "fingerprint", q.Fingerprint, "for", q.TimeLeft, "source", "peer")
		p.metrics.Count(rrmetrics.GroupQuarantines, "peer")
	}
}

// applyQuarantine refuses the request at all services and reports whether it was not
// quarantined for as long before.
func (p *Dispatchers) applyQuarantine(q rrpeer.Quarantine) bool {
	now := p.clock()
	until := now.Add(q.TimeLeft.Std())
	p.suspects.Add(now, q.Fingerprint, until)
	p.mu.Lock()
	for fingerprint, until := range p.quarantined {
		if until <= now {
			delete(p.quarantined, fingerprint)
		}
	}
	known := until <= p.quarantined[q.Fingerprint]
	p.quarantined[q.Fingerprint] = max(until, p.quarantined[q.Fingerprint])
	dispatchers := make([]*dispatcher, 0, len(p.dispatchers))
	for _, d := range p.dispatchers {
		dispatchers = append(dispatchers, d)
	}
	p.mu.Unlock()
	if known {
		return false
	}
	for _, d := range dispatchers {
		d.quarantine(q.Fingerprint, until)
	}
	return true
}

func (d *dispatcher) quarantine(fingerprint rrunit.Fingerprint, until rrunit.Instant) {
	d.step(func(now rrunit.Instant) []rrdispatch.Action { return d.core.Quarantine(now, fingerprint, until) })
}

// Suspects returns how many requests may have crashed a searcher.
func (p *Dispatchers) Suspects() int { return p.suspects.Suspects() }

// Quarantined returns the active quarantines.
func (p *Dispatchers) Quarantined() []rrpeer.Quarantine {
	now := p.clock()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []rrpeer.Quarantine
	for fingerprint, until := range p.quarantined {
		if left := until.Sub(now); left > 0 {
			out = append(out, rrpeer.Quarantine{Fingerprint: fingerprint, TimeLeft: rrunit.Duration(left)})
		}
	}
	return out
}
