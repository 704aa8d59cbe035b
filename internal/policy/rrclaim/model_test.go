package rrclaim

import (
	"encoding/binary"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// idAt returns a UUIDv7 of the time with n in its random part.
func idAt(at time.Time, n int) rrunit.RequestID {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16|7<<12)
	binary.BigEndian.PutUint64(u[8:], 2<<62|uint64(n))
	return rrunit.RequestID(u.String())
}

var epoch = time.UnixMilli(1_800_000_000_000)

func requestAt(at time.Time, n int) Request {
	return Request{Key: Key{Caller: "press", ID: idAt(at, n)}, Fingerprint: 7, Time: at}
}

// inFlightCall is a call in progress. A write may reach the store long after its
// daemon learned that the answer was lost, or never.
type inFlightCall struct{ call Call }

type daemonModel struct {
	core     *Partition
	inFlight *inFlightCall
	tickets  map[Ticket]Request
	granted  map[Ticket]Request
	skew     time.Duration
}

// model is one object with its history, and the daemons that write it.
type model struct {
	t          *rapid.T
	history    []rrstore.Object
	lateWrites []*inFlightCall
	daemons    []*daemonModel
	// holders maps each key to the ticket that may run it now.
	holders map[Key]Ticket
	next    Ticket
	wall    time.Time
	ids     int
	// sent holds all requests so far; half of the new requests resend one of them.
	sent []Request
}

func (m *model) newest() rrstore.Object { return m.history[len(m.history)-1] }

// commitWrite executes a write and reports whether it took effect.
func (m *model) commitWrite(c *Call) bool {
	if m.newest().Version != c.Base {
		return false
	}
	m.history = append(m.history, rrstore.Object{Version: c.Base + 1, Value: c.Value})
	return true
}

func (m *model) handleDecisions(d *daemonModel, decisions []Decision) {
	for _, dec := range decisions {
		r, ok := d.tickets[dec.Ticket]
		if !ok {
			continue
		}
		delete(d.tickets, dec.Ticket)
		if dec.Verdict != VerdictGranted {
			continue
		}
		if other, held := m.holders[r.Key]; held {
			m.t.Fatalf("%s granted to ticket %d while ticket %d holds it", r.ID, dec.Ticket, other)
		}
		m.holders[r.Key] = dec.Ticket
		d.granted[dec.Ticket] = r
	}
}

func (m *model) pickDaemon() *daemonModel {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
}

func (m *model) claim(t *rapid.T) {
	d := m.pickDaemon()
	at := m.wall.Add(-time.Duration(rapid.IntRange(-20, 90).Draw(t, "age")) * time.Second).Truncate(time.Second)
	r := requestAt(at, rapid.IntRange(0, m.ids).Draw(t, "id"))
	if n := rapid.IntRange(0, 2*len(m.sent)).Draw(t, "resend"); n < len(m.sent) {
		r = m.sent[n]
	}
	m.sent = append(m.sent, r)
	m.next++
	d.tickets[m.next] = r
	d.core.Claim(m.next, r)
}

func (m *model) abandon(*rapid.T) {
	d := m.pickDaemon()
	ticket, ok := lowestTicket(d.tickets)
	if ok && d.core.Cancel(ticket) {
		delete(d.tickets, ticket)
	}
}

// finishWork ends granted work, which ran or certainly did not.
func (m *model) finishWork(t *rapid.T) {
	d := m.pickDaemon()
	ticket, ok := lowestTicket(d.granted)
	if !ok {
		return
	}
	r := d.granted[ticket]
	delete(d.granted, ticket)
	if rapid.Bool().Draw(t, "ran") {
		d.core.Record(r.Key, ticket, Outcome{Shard: "00"})
		return
	}
	delete(m.holders, r.Key)
	d.core.Release(r.Key, ticket)
}

// lowestTicket returns the lowest ticket.
func lowestTicket(m map[Ticket]Request) (Ticket, bool) {
	if len(m) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(m))), true
}

func (m *model) startCall(*rapid.T) {
	d := m.pickDaemon()
	if d.inFlight != nil {
		return
	}
	c, decisions := d.core.Next(m.wall.Add(d.skew))
	m.handleDecisions(d, decisions)
	if c.Kind != CallNone {
		d.inFlight = &inFlightCall{call: c}
	}
}

func (m *model) finishCall(t *rapid.T) {
	d := m.pickDaemon()
	if d.inFlight == nil {
		return
	}
	f := d.inFlight
	d.inFlight = nil
	m.handleDecisions(d, d.core.Finish(m.result(t, f)))
}

func (m *model) result(t *rapid.T, f *inFlightCall) Result {
	if f.call.Kind == CallRead {
		if rapid.IntRange(0, 9).Draw(t, "down") == 0 {
			return Result{Err: eris.Wrap(rrstore.ErrUnavailable, "reading")}
		}
		stale := rapid.IntRange(0, min(3, len(m.history)-1)).Draw(t, "stale")
		o := m.history[len(m.history)-1-stale]
		return Result{Version: o.Version, Value: o.Value}
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "down"}).Draw(t, "write") {
	case "lost":
		m.commitWrite(&f.call)
		return Result{Err: eris.Wrap(rrstore.ErrUncertain, "writing")}
	case "late":
		m.lateWrites = append(m.lateWrites, f)
		return Result{Err: eris.Wrap(rrstore.ErrUncertain, "writing")}
	case "down":
		return Result{Err: eris.Wrap(rrstore.ErrUnavailable, "writing")}
	}
	if !m.commitWrite(&f.call) {
		return Result{Err: eris.Wrap(rrstore.ErrConflict, "writing")}
	}
	return Result{Version: m.newest().Version}
}

// deliverLateWrite lets a write reach the store after its daemon got the error that
// the answer was lost.
func (m *model) deliverLateWrite(*rapid.T) {
	if len(m.lateWrites) == 0 {
		return
	}
	m.commitWrite(&m.lateWrites[0].call)
	m.lateWrites = m.lateWrites[1:]
}

func (m *model) advanceClock(t *rapid.T) {
	m.wall = m.wall.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
}

func (m *model) setRetention(t *rapid.T) {
	m.pickDaemon().core.SetRetention(time.Duration(rapid.IntRange(20, 200).Draw(t, "keep")) * time.Second)
}

// settle completes all calls and requests with a store that works.
func (m *model) settle() {
	for range 20 {
		for _, d := range m.daemons {
			if d.inFlight == nil {
				c, decisions := d.core.Next(m.wall.Add(d.skew))
				m.handleDecisions(d, decisions)
				if c.Kind == CallNone {
					continue
				}
				d.inFlight = &inFlightCall{call: c}
			}
			f := d.inFlight
			d.inFlight = nil
			o := m.newest()
			r := Result{Version: o.Version, Value: o.Value}
			if f.call.Kind == CallWrite {
				r = Result{Err: eris.Wrap(rrstore.ErrConflict, "writing")}
				if m.commitWrite(&f.call) {
					r = Result{Version: m.newest().Version}
				}
			}
			m.handleDecisions(d, d.core.Finish(r))
		}
	}
}

// TestAtMostOneHolder checks over random event orders that no key ever has two
// holders, despite lost or late writes, stale reads, cancelled requests, clock skew
// and changes of the retention time. Once the store works, no request may wait and
// each stored claim must belong to the holder of its key.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, history: []rrstore.Object{{}}, holders: make(map[Key]Ticket), wall: epoch,
			ids: rapid.IntRange(0, 3).Draw(t, "ids"),
		}
		for i := range 3 {
			m.daemons = append(m.daemons, &daemonModel{
				core:    New(Incarnation(rune('a'+i)), time.Minute),
				tickets: make(map[Ticket]Request), granted: make(map[Ticket]Request),
				skew: time.Duration(rapid.IntRange(-90, 90).Draw(t, "skew")) * time.Second,
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "abandon": m.abandon, "end": m.finishWork, "call": m.startCall, "call again": m.startCall,
			"finish": m.finishCall, "finish again": m.finishCall, "arrive": m.deliverLateWrite, "pass": m.advanceClock, "keep": m.setRetention,
		})
		m.lateWrites = nil
		m.settle()
		for _, d := range m.daemons {
			must.MapEmpty(t, d.tickets)
			must.True(t, d.core.Idle())
		}
		stored, err := decodeTable(m.newest().Value)
		must.NoError(t, err)
		for key, e := range stored.claims {
			must.Eq(t, m.holders[key], e.Ticket)
		}
	})
}
