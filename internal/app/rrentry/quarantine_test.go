package rrentry_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrentry"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// noPeers is a directory without instances.
type noPeers struct{}

func (noPeers) Worker(rrunit.InstanceID) rrpeers.Worker { return nil }
func (noPeers) Ready(rrunit.InstanceID) bool            { return false }

func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	now := rrunit.Instant(0)
	e := rrentry.New(noPeers{}, rrentry.WithClock(func() rrunit.Instant { return now }))
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	e.SetDefinition(def)
	q, err := rrquery.Decode([]byte(`{"service":"luettelo","deadline":"1ms","body":"bad"}`), def)
	must.NoError(t, err)
	must.Eq(t, rrquery.ReasonNoSearcher, e.Serve(t.Context(), q).Reason)

	quarantine := rrpeer.Quarantine{Fingerprint: q.Fingerprint(), TimeLeft: rrunit.Duration(time.Minute)}
	must.True(t, e.Quarantine(quarantine))
	must.False(t, e.Quarantine(quarantine))
	a := e.Serve(t.Context(), q)
	must.Eq(t, rrquery.OutcomeRefused, a.Outcome)
	must.Eq(t, rrquery.ReasonQuarantine, a.Reason)
	must.True(t, a.NotRun)
	must.Eq(t, rrunit.Duration(time.Minute), a.RetryAfter)

	other := *q
	other.Body = json.RawMessage(`"good"`)
	must.Eq(t, rrquery.ReasonNoSearcher, e.Serve(t.Context(), &other).Reason)
	now = now.Add(time.Minute)
	must.Eq(t, rrquery.ReasonNoSearcher, e.Serve(t.Context(), q).Reason)
	must.SliceEmpty(t, e.Quarantines())
}

func TestQuarantinesAreBounded(t *testing.T) {
	e := rrentry.New(noPeers{}, rrentry.WithClock(func() rrunit.Instant { return 0 }))
	for i := range 3000 {
		e.Quarantine(rrpeer.Quarantine{Fingerprint: rrunit.Fingerprint(i + 1), TimeLeft: rrunit.Duration(time.Minute)})
	}
	must.Len(t, 1024, e.Quarantines())
}
