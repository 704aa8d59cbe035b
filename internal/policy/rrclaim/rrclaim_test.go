package rrclaim

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// fakeStore is a store with one object that never fails. It counts the calls.
type fakeStore struct {
	object        rrstore.Object
	reads, writes int
}

// run executes all calls of the partition and returns its decisions.
func (s *fakeStore) run(p *Partition, wall time.Time) map[Ticket]Decision {
	out := make(map[Ticket]Decision)
	collect := func(decisions []Decision) {
		for _, d := range decisions {
			out[d.Ticket] = d
		}
	}
	for {
		c, decisions := p.Next(wall)
		collect(decisions)
		r := Result{Version: s.object.Version, Value: s.object.Value}
		switch c.Kind {
		case CallNone:
			return out
		case CallRead:
			s.reads++
		case CallWrite:
			s.writes++
			if c.Base != s.object.Version {
				r = Result{Err: rrstore.ErrConflict}
				break
			}
			s.object = rrstore.Object{Version: c.Base + 1, Value: c.Value}
			r = Result{Version: s.object.Version}
		}
		collect(p.Finish(r))
	}
}

// claim runs one request and returns its decision.
func (s *fakeStore) claim(p *Partition, wall time.Time, ticket Ticket, r Request) Decision {
	p.Claim(ticket, r)
	return s.run(p, wall)[ticket]
}

func TestVerdictsOfResends(t *testing.T) {
	first := requestAt(epoch, 1)
	other := first
	other.Fingerprint++
	hits := []rrquery.Hit{{ID: "label", Score: 1, Body: json.RawMessage(`{"of":"84.2"}`)}}
	large := []rrquery.Hit{{ID: "label", Body: json.RawMessage(`"` + string(bytes.Repeat([]byte("x"), int(MaxOutcomeSize))) + `"`)}}
	for name, tt := range map[string]struct {
		after func(*Partition)
		ask   Request
		want  Decision
	}{
		"no outcome": {func(*Partition) {}, first, Decision{Verdict: VerdictClaimed, RetryAfter: defaultRetry}},
		"recorded": {
			func(p *Partition) { p.Record(first.Key, 1, Outcome{Shard: "00", Hits: hits}) },
			first,
			Decision{Verdict: VerdictDone, Outcome: &Outcome{Shard: "00", Hits: hits}},
		},
		"too large": {
			func(p *Partition) { p.Record(first.Key, 1, Outcome{Shard: "00", Hits: large}) },
			first,
			Decision{Verdict: VerdictDone, Outcome: &Outcome{Shard: "00", HitsOmitted: true}},
		},
		"released":        {func(p *Partition) { p.Release(first.Key, 1) }, first, Decision{Verdict: VerdictGranted}},
		"not its release": {func(p *Partition) { p.Release(first.Key, 9) }, first, Decision{Verdict: VerdictClaimed, RetryAfter: defaultRetry}},
		"other work":      {func(*Partition) {}, other, Decision{Verdict: VerdictMismatch}},
		"expired":         {func(*Partition) {}, requestAt(epoch.Add(-time.Minute-time.Second), 2), Decision{Verdict: VerdictExpired}},
		"early":           {func(*Partition) {}, requestAt(epoch.Add(11*time.Second), 2), Decision{Verdict: VerdictEarly, RetryAfter: 11 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			s := new(fakeStore)
			owner, standby := New("a", time.Minute), New("b", time.Minute)
			must.Eq(t, VerdictGranted, s.claim(owner, epoch, 1, first).Verdict)
			tt.after(owner)
			s.run(owner, epoch)
			tt.want.Ticket = 2
			must.Eq(t, tt.want, s.claim(standby, epoch, 2, tt.ask))
		})
	}
}

// TestDroppedClaimIsNotGranted drops a claim and requests it again at a daemon that
// accepts ids for longer or whose clock is behind.
func TestDroppedClaimIsNotGranted(t *testing.T) {
	for name, tt := range map[string]struct {
		keep time.Duration
		wall time.Time
	}{
		"longer":       {time.Hour, epoch.Add(3 * time.Minute)},
		"clock behind": {time.Minute, epoch},
	} {
		t.Run(name, func(t *testing.T) {
			s := new(fakeStore)
			a, b := New("a", time.Minute), New("b", tt.keep)
			must.Eq(t, VerdictGranted, s.claim(a, epoch, 1, requestAt(epoch, 1)).Verdict)
			must.Eq(t, VerdictGranted, s.claim(a, epoch.Add(3*time.Minute), 2, requestAt(epoch.Add(3*time.Minute), 2)).Verdict)
			must.False(t, bytes.Contains(s.object.Value, []byte(idAt(epoch, 1))))
			must.Eq(t, VerdictExpired, s.claim(b, tt.wall, 3, requestAt(epoch, 1)).Verdict)
		})
	}
}

// TestClockAheadDropsNoClaims checks that a daemon whose clock jumps ahead drops no
// claims whose ids others accept.
func TestClockAheadDropsNoClaims(t *testing.T) {
	s := new(fakeStore)
	a, ahead := New("a", time.Minute), New("b", time.Minute)
	must.Eq(t, VerdictGranted, s.claim(a, epoch, 1, requestAt(epoch, 1)).Verdict)
	must.Eq(t, VerdictGranted, s.claim(ahead, epoch, 2, requestAt(epoch, 2)).Verdict)
	ahead.Record(requestAt(epoch, 2).Key, 2, Outcome{})
	s.run(ahead, epoch.Add(24*time.Hour))
	must.Eq(t, VerdictClaimed, s.claim(a, epoch, 3, requestAt(epoch, 1)).Verdict)
}

// TestWaitingClaimsShareOneWrite checks that all queued claims are written by one
// write.
func TestWaitingClaimsShareOneWrite(t *testing.T) {
	s := new(fakeStore)
	p := New("a", time.Minute)
	for i := range 500 {
		must.True(t, p.Claim(Ticket(i), requestAt(epoch, i)))
	}
	must.MapLen(t, 500, s.run(p, epoch))
	must.Eq(t, 1, s.writes)
}

// TestFullPartition fills an object. Further claims are refused until the oldest
// ones expire; the object never exceeds the store's limit.
func TestFullPartition(t *testing.T) {
	s := new(fakeStore)
	p := New("a", time.Minute)
	n := 0
	for ; ; n++ {
		p.Claim(Ticket(n), requestAt(epoch, n))
		if n%200 == 199 {
			if d := s.run(p, epoch)[Ticket(n)]; d.Verdict != VerdictGranted {
				must.Eq(t, Decision{Ticket: Ticket(n), Verdict: VerdictFull, RetryAfter: maxRetry}, d)
				break
			}
		}
	}
	must.Greater(t, 2000, n)
	must.Less(t, int(MaxObjectSize), len(s.object.Value))
	for i := range n {
		p.Record(requestAt(epoch, i).Key, Ticket(i), Outcome{Shard: "00", Hits: []rrquery.Hit{{ID: "label"}}})
	}
	s.run(p, epoch)
	must.Less(t, int(rrstore.MaxValueSize), len(s.object.Value))
	later := epoch.Add(time.Minute + RetentionMargin + time.Second)
	must.Eq(t, VerdictGranted, s.claim(p, later, 1<<20, requestAt(later, n)).Verdict)
}

// TestStaleReadIsIgnored checks that a read of a version older than the last known
// one is ignored.
func TestStaleReadIsIgnored(t *testing.T) {
	s := new(fakeStore)
	a, b := New("a", time.Minute), New("b", time.Minute)
	s.claim(a, epoch, 1, requestAt(epoch, 1))
	stale := s.object
	s.claim(b, epoch, 1, requestAt(epoch, 2))
	a.Claim(2, requestAt(epoch, 2))
	_, _ = a.Next(epoch)
	must.SliceEmpty(t, a.Finish(Result{Err: rrstore.ErrConflict}))
	_, _ = a.Next(epoch)
	must.SliceEmpty(t, a.Finish(Result{Version: stale.Version, Value: stale.Value}))
	c, _ := a.Next(epoch)
	must.Eq(t, CallRead, c.Kind)
	must.SliceEmpty(t, a.Finish(Result{Version: s.object.Version, Value: s.object.Value}))
	must.Eq(t, VerdictClaimed, s.run(a, epoch)[2].Verdict)
}

// TestCancelledUncertainWriteIsFenced cancels a claim whose write may still reach
// the store. The partition must make this write impossible before it is idle.
func TestCancelledUncertainWriteIsFenced(t *testing.T) {
	s := new(fakeStore)
	p := New("a", time.Minute)
	p.Claim(1, requestAt(epoch, 1))
	_, _ = p.Next(epoch)
	p.Finish(Result{})
	late, _ := p.Next(epoch)
	must.SliceEmpty(t, p.Finish(Result{Err: rrstore.ErrUncertain}))
	must.True(t, p.Cancel(1))
	s.run(p, epoch)
	must.True(t, p.Idle())
	must.Greater(t, late.Base, s.object.Version)
	must.Eq(t, VerdictGranted, s.claim(New("b", time.Minute), epoch, 1, requestAt(epoch, 1)).Verdict)
}

// TestWriteWithLostAnswerIsRecognized checks that a write whose answer was lost is
// recognized by a read, without a second write.
func TestWriteWithLostAnswerIsRecognized(t *testing.T) {
	s := new(fakeStore)
	p := New("a", time.Minute)
	p.Claim(1, requestAt(epoch, 1))
	_, _ = p.Next(epoch)
	p.Finish(Result{})
	c, _ := p.Next(epoch)
	must.Eq(t, CallWrite, c.Kind)
	s.object = rrstore.Object{Version: 1, Value: c.Value}
	must.SliceEmpty(t, p.Finish(Result{Err: rrstore.ErrUncertain}))
	must.Eq(t, VerdictGranted, s.run(p, epoch)[1].Verdict)
	must.Eq(t, 0, s.writes)
	must.Eq(t, 1, s.reads)
}

// FuzzTable checks that any stored value is either refused or unchanged by decoding
// and encoding.
func FuzzTable(f *testing.F) {
	s := new(fakeStore)
	s.claim(New("a", time.Minute), epoch, 1, requestAt(epoch, 1))
	f.Add(s.object.Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := decodeTable(value)
		if err != nil {
			return
		}
		again, err := decodeTable(decoded.encode())
		must.NoError(t, err)
		must.Eq(t, len(decoded.claims), len(again.claims))
		must.Eq(t, decoded.floor, again.floor)
		for _, c := range again.claims {
			decideExisting(&c.Claim, 0)
		}
	})
}
