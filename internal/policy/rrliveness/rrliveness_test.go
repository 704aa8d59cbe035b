package rrliveness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
)

func at(d time.Duration) rrunit.Instant { return rrunit.Instant(d) }

func TestSilentPeer(t *testing.T) {
	var p rrliveness.Monitor
	_, ok := p.NextCheck()
	must.False(t, ok)
	p.WorkStarted(at(time.Second))
	p.Received(at(time.Second + time.Millisecond))
	for d := time.Second; d < 2*time.Second; d += rrliveness.KeepaliveInterval {
		must.Eq(t, rrliveness.ActionNone, p.Check(at(d)))
		p.Received(at(d))
	}
	must.Eq(t, rrliveness.ActionNone, p.Check(at(2*time.Second+30*time.Millisecond)))
	must.Eq(t, rrliveness.ActionReassign, p.Check(at(2*time.Second+32*time.Millisecond)))
	must.True(t, p.Silent())
	must.Eq(t, rrliveness.ActionNone, p.Check(at(2*time.Second+100*time.Millisecond)))
	must.Eq(t, rrliveness.ActionPing, p.Check(at(2*time.Second+300*time.Millisecond)))
	p.Received(at(3 * time.Second))
	must.False(t, p.Silent())
	_, ok = p.NextCheck()
	must.False(t, ok)
}

func TestIdlePeerIsNotSilent(t *testing.T) {
	var p rrliveness.Monitor
	p.WorkStarted(0)
	p.Received(at(time.Millisecond))
	p.WorkEnded()
	must.Eq(t, rrliveness.ActionNone, p.Check(at(time.Hour)))
	p.WorkStarted(at(time.Hour))
	must.Eq(t, rrliveness.ActionNone, p.Check(at(time.Hour+time.Millisecond)))
}

func TestLateness(t *testing.T) {
	var l rrliveness.Lateness
	const skew = -17 * time.Minute
	send := func(sent, transit time.Duration) time.Duration {
		return l.Observe(at(sent+transit), at(sent+skew))
	}
	must.Eq(t, 0, send(0, 5*time.Millisecond))
	must.Eq(t, 0, send(time.Second, time.Millisecond))
	must.Eq(t, 3*time.Millisecond, send(2*time.Second, 4*time.Millisecond))
	// After a pause of two minutes, the receiver reads old messages.
	must.Eq(t, 120*time.Second-time.Millisecond, send(3*time.Second, 120*time.Second))
	must.Eq(t, 119*time.Second-time.Millisecond, send(4*time.Second, 119*time.Second))
	// Later messages are on time again, also in the following windows.
	must.Eq(t, 0, send(200*time.Second, time.Millisecond))
	must.Eq(t, 0, send(240*time.Second, time.Millisecond))
	must.Eq(t, time.Millisecond, send(241*time.Second, 2*time.Millisecond))
}
