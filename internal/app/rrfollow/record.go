package rrfollow

import (
	"context"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// recordInterval is how often this daemon's own quarantines are compared with what it has
// recorded of them in the store.
const recordInterval = 100 * time.Millisecond

// maxVerdicts bounds this daemon's own quarantines that are recorded at one time. Others are
// passed on all the same.
const maxVerdicts = rrpeer.MaxQuarantines

// verdict is a quarantine that this daemon has decided on. It is recorded in the store, for
// daemons that start when no other one is left to ask, until its end.
type verdict struct {
	until rrunit.Instant
	// isRecorded is set once it is in the store, in the era.
	isRecorded bool
	era        rrcatalog.Era
}

// addVerdict adds a quarantine to those to be recorded. The caller holds mu.
func (f *Follower) addVerdict(q rrpeer.Quarantine) {
	if _, known := f.verdicts[q.Fingerprint]; !known && len(f.verdicts) >= maxVerdicts {
		f.cfg.Log.Failure("quarantine not recorded", "fingerprint", q.Fingerprint, "err", "too many at one time")
		return
	}
	f.verdicts[q.Fingerprint] = verdict{until: f.clock().Add(q.TimeLeft.Std())}
}

// recordVerdicts keeps the store's record of this daemon's own quarantines up to date until
// ctx ends: new ones are added, also again after a restore of the store, and ended ones
// removed.
func (f *Follower) recordVerdicts(ctx context.Context) {
	delay := recordInterval
	for rrunit.Sleep(ctx, delay) {
		delay = recordInterval
		for _, fingerprint := range f.dueVerdicts() {
			if !f.recordVerdict(ctx, fingerprint) {
				delay = maxRetryDelay
				break
			}
		}
	}
}

// dueVerdicts returns the fingerprints whose record is not up to date.
func (f *Follower) dueVerdicts() []rrunit.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var out []rrunit.Fingerprint
	for fingerprint, v := range f.verdicts {
		if v.until <= now || !v.isRecorded || v.era < f.era {
			out = append(out, fingerprint)
		}
	}
	return out
}

// recordVerdict adds or removes the record of one quarantine and reports whether it could.
func (f *Follower) recordVerdict(ctx context.Context, fingerprint rrunit.Fingerprint) bool {
	name := rrcatalog.NewQuarantineName(fingerprint)
	f.mu.Lock()
	before := f.verdicts[fingerprint]
	f.mu.Unlock()
	started := f.clock()
	left := before.until.Sub(started)
	if left <= 0 {
		ok := f.recordStoreCall(ctx, started, kindQuarantines, f.cfg.Store.DeleteQuarantine(ctx, name))
		f.mu.Lock()
		defer f.mu.Unlock()
		if ok && f.verdicts[fingerprint] == before {
			delete(f.verdicts, fingerprint)
		}
		return ok
	}
	era, err := f.cfg.Store.PutQuarantine(ctx, name, rrcatalog.Quarantine{By: f.cfg.Self.ID, Until: time.Now().Add(left).UnixMilli()})
	ok := f.recordStoreCall(ctx, started, kindQuarantines, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok && f.verdicts[fingerprint] == before {
		// A store that was restored meanwhile may have lost it.
		f.verdicts[fingerprint] = verdict{until: before.until, isRecorded: true, era: era}
	}
	return ok
}

// readRecord reads the quarantines that daemons have recorded, once, as there may be no other
// daemon left that knows of them.
func (f *Follower) readRecord(ctx context.Context) {
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		if f.readRecordOnce(ctx) {
			return
		}
		sleepJittered(ctx, delay)
	}
}

func (f *Follower) readRecordOnce(ctx context.Context) bool {
	started := f.clock()
	changes, err := f.cfg.Store.Quarantines().ListCached(ctx)
	if !f.recordStoreCall(ctx, started, kindQuarantines, err) {
		return false
	}
	for _, d := range changes.Invalid {
		f.cfg.Log.Failure("object not taken", "kind", kindQuarantines, "name", d.Name, "err", d.Err)
	}
	f.takeRecord(changes.Delta.Entries)
	return true
}

// takeRecord applies recorded quarantines, and takes over the removal of those that this
// daemon decided on before it was restarted, or that a daemon decided on that is not there.
func (f *Follower) takeRecord(entries map[rrcatalog.QuarantineName]rrcatalog.Entry[rrcatalog.Quarantine]) {
	active, now := 0, time.Now()
	f.mu.Lock()
	registered := f.instances
	f.mu.Unlock()
	for name, e := range entries {
		if e.Value == nil {
			continue
		}
		fingerprint, err := name.Fingerprint()
		if err != nil {
			f.cfg.Log.Failure("object not taken", "kind", kindQuarantines, "name", name, "err", err)
			continue
		}
		q := rrpeer.Quarantine{Fingerprint: fingerprint, TimeLeft: e.Value.Left(now)}
		if e.Value.By == f.cfg.Self.ID || registered.Revision() > 0 && !registered.Has(e.Value.By) {
			f.adoptVerdict(q, e.Revision.Era())
		}
		if q.TimeLeft <= 0 {
			continue
		}
		active++
		f.addQuarantine(q)
		f.cfg.Quarantine(q)
	}
	if len(entries) > 0 {
		f.cfg.Log.StateChange("quarantines read", "active", active, "ended", len(entries)-active)
	}
}

// adoptVerdict takes over a recorded quarantine unless this daemon has decided on it again.
func (f *Follower) adoptVerdict(q rrpeer.Quarantine, era rrcatalog.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.verdicts[q.Fingerprint]; !known {
		f.verdicts[q.Fingerprint] = verdict{until: f.clock().Add(q.TimeLeft.Std()), isRecorded: true, era: era}
	}
}
