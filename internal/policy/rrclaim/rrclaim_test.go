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

// bench is one object that never fails, and counts of the calls.
type bench struct {
	object        rrstore.Object
	reads, writes int
}

// run carries out all calls of the core and returns its decisions.
func (s *bench) run(p *Partition, wall time.Time) map[Ticket]Decision {
	out := make(map[Ticket]Decision)
	take := func(decisions []Decision) {
		for _, d := range decisions {
			out[d.Ticket] = d
		}
	}
	for {
		c, decisions := p.Next(wall)
		take(decisions)
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
		take(p.Finish(r))
	}
}

// ask runs one request and returns its verdict.
func (s *bench) ask(p *Partition, wall time.Time, ticket Ticket, r Request) Decision {
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
		"without word": {func(*Partition) {}, first, Decision{Verdict: VerdictClaimed, Retry: defaultRetry}},
		"recorded": {
			func(p *Partition) { p.Record(first.Key, 1, Outcome{Shard: "00", Hits: hits}) },
			first,
			Decision{Verdict: VerdictDone, Outcome: &Outcome{Shard: "00", Hits: hits}},
		},
		"too large": {
			func(p *Partition) { p.Record(first.Key, 1, Outcome{Shard: "00", Hits: large}) },
			first,
			Decision{Verdict: VerdictDone, Outcome: &Outcome{Shard: "00", Large: true}},
		},
		"released":        {func(p *Partition) { p.Release(first.Key, 1) }, first, Decision{Verdict: VerdictGranted}},
		"not its release": {func(p *Partition) { p.Release(first.Key, 9) }, first, Decision{Verdict: VerdictClaimed, Retry: defaultRetry}},
		"other work":      {func(*Partition) {}, other, Decision{Verdict: VerdictMismatch}},
		"expired":         {func(*Partition) {}, requestAt(epoch.Add(-time.Minute-time.Second), 2), Decision{Verdict: VerdictExpired}},
		"early":           {func(*Partition) {}, requestAt(epoch.Add(11*time.Second), 2), Decision{Verdict: VerdictEarly, Retry: 11 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			s := new(bench)
			owner, standby := New("a", time.Minute), New("b", time.Minute)
			must.Eq(t, VerdictGranted, s.ask(owner, epoch, 1, first).Verdict)
			tt.after(owner)
			s.run(owner, epoch)
			tt.want.Ticket = 2
			must.Eq(t, tt.want, s.ask(standby, epoch, 2, tt.ask))
		})
	}
}

// TestDroppedClaimIsNotGranted drops a claim and asks again where ids are
// accepted for longer, or where the clock runs behind.
func TestDroppedClaimIsNotGranted(t *testing.T) {
	for name, tt := range map[string]struct {
		keep time.Duration
		wall time.Time
	}{
		"longer":       {time.Hour, epoch.Add(3 * time.Minute)},
		"clock behind": {time.Minute, epoch},
	} {
		t.Run(name, func(t *testing.T) {
			s := new(bench)
			a, b := New("a", time.Minute), New("b", tt.keep)
			must.Eq(t, VerdictGranted, s.ask(a, epoch, 1, requestAt(epoch, 1)).Verdict)
			must.Eq(t, VerdictGranted, s.ask(a, epoch.Add(3*time.Minute), 2, requestAt(epoch.Add(3*time.Minute), 2)).Verdict)
			must.False(t, bytes.Contains(s.object.Value, []byte(idAt(epoch, 1))))
			must.Eq(t, VerdictExpired, s.ask(b, tt.wall, 3, requestAt(epoch, 1)).Verdict)
		})
	}
}

// TestClockAhead checks that one clock that jumps ahead drops nothing that
// others accept.
func TestClockAhead(t *testing.T) {
	s := new(bench)
	a, ahead := New("a", time.Minute), New("b", time.Minute)
	must.Eq(t, VerdictGranted, s.ask(a, epoch, 1, requestAt(epoch, 1)).Verdict)
	must.Eq(t, VerdictGranted, s.ask(ahead, epoch, 2, requestAt(epoch, 2)).Verdict)
	ahead.Record(requestAt(epoch, 2).Key, 2, Outcome{})
	s.run(ahead, epoch.Add(24*time.Hour))
	must.Eq(t, VerdictClaimed, s.ask(a, epoch, 3, requestAt(epoch, 1)).Verdict)
}

// TestBatches checks that claims that wait together are written by one update.
func TestBatches(t *testing.T) {
	s := new(bench)
	p := New("a", time.Minute)
	for i := range 500 {
		must.True(t, p.Claim(Ticket(i), requestAt(epoch, i)))
	}
	must.MapLen(t, 500, s.run(p, epoch))
	must.Eq(t, 1, s.writes)
}

// TestFullPartition fills the object up. More is refused until the oldest
// claims are no longer kept; the object never passes the store's limit.
func TestFullPartition(t *testing.T) {
	s := new(bench)
	p := New("a", time.Minute)
	n := 0
	for ; ; n++ {
		p.Claim(Ticket(n), requestAt(epoch, n))
		if n%200 == 199 {
			if d := s.run(p, epoch)[Ticket(n)]; d.Verdict != VerdictGranted {
				must.Eq(t, Decision{Ticket: Ticket(n), Verdict: VerdictFull, Retry: maxRetry}, d)
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
	must.Less(t, int(rrstore.MaxValue), len(s.object.Value))
	later := epoch.Add(time.Minute + RetentionMargin + time.Second)
	must.Eq(t, VerdictGranted, s.ask(p, later, 1<<20, requestAt(later, n)).Verdict)
}

// TestStaleRead checks that a read older than what is known tells nothing.
func TestStaleRead(t *testing.T) {
	s := new(bench)
	a, b := New("a", time.Minute), New("b", time.Minute)
	s.ask(a, epoch, 1, requestAt(epoch, 1))
	stale := s.object
	s.ask(b, epoch, 1, requestAt(epoch, 2))
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

// TestFence gives up a claim whose write may yet reach the store. The core must
// make sure that it cannot before it rests.
func TestFence(t *testing.T) {
	s := new(bench)
	p := New("a", time.Minute)
	p.Claim(1, requestAt(epoch, 1))
	_, _ = p.Next(epoch)
	p.Finish(Result{})
	late, _ := p.Next(epoch)
	must.SliceEmpty(t, p.Finish(Result{Err: rrstore.ErrUncertain}))
	must.True(t, p.Abandon(1))
	s.run(p, epoch)
	must.True(t, p.Idle())
	must.Greater(t, late.Base, s.object.Version)
	must.Eq(t, VerdictGranted, s.ask(New("b", time.Minute), epoch, 1, requestAt(epoch, 1)).Verdict)
}

// TestLostAnswer checks that a write whose answer was lost is recognized by a
// read, without a second write.
func TestLostAnswer(t *testing.T) {
	s := new(bench)
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

// FuzzTable checks that whatever the store holds is refused or comes back the
// same after it was written again.
func FuzzTable(f *testing.F) {
	s := new(bench)
	s.ask(New("a", time.Minute), epoch, 1, requestAt(epoch, 1))
	f.Add(s.object.Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		first, err := decodeTable(value)
		if err != nil {
			return
		}
		second, err := decodeTable(first.encode())
		must.NoError(t, err)
		must.Eq(t, len(first.claims), len(second.claims))
		must.Eq(t, first.floor, second.floor)
		for _, c := range second.claims {
			decideExisting(&c.Claim, 0)
		}
	})
}
