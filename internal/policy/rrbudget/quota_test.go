package rrbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
)

// The operators' rule for a limit that a searcher names: in limitWindow all daemons send
// no more than limitTolerance times what it allows, plus limitSlack.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// quotaFleet returns the quotas of daemons that share the limit equally. Their clocks
// differ by up to two ticks, and a tenth of them by much more.
func quotaFleet(rng *rand.Rand, daemons int, limit float64) []*rrbudget.Quota {
	out := make([]*rrbudget.Quota, daemons)
	for i := range out {
		wrong := time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
		if rng.Float64() < 0.1 {
			wrong *= 100
		}
		out[i] = rrbudget.NewQuota(0, rrbudget.NewQuotaPhase(i, daemons, 0, time.Hour+wrong))
		out[i].SetRate(0, rrunit.Rate(limit/float64(daemons)))
	}
	return out
}

// Daemons that have left their quotas unused for long all use them at the same moment, and
// from then on as soon as they can.
func TestUnusedQuotasStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 300).Draw(t, "daemons")
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		quotas := quotaFleet(rng, daemons, limit)
		idle := rapid.IntRange(0, 40_000).Draw(t, "idle")
		sent := 0
		for ms := 0; ms < int(limitWindow.Milliseconds()); ms += 10 {
			for _, q := range quotas {
				for q.Spend(at(time.Duration(idle+ms) * time.Millisecond)) {
					sent++
				}
			}
		}
		if most := limitTolerance*limit*limitWindow.Seconds() + limitSlack; float64(sent) > most {
			t.Fatalf("%d requests in %s, want at most %g", sent, limitWindow, most)
		}
	})
}

// The daemons of a fleet can use nearly all of a limit, however small the share of each.
func TestQuotasUseTheLimit(t *testing.T) {
	const limit, span = 30.0, 60 * time.Second
	for _, daemons := range []int{1, 9, 78, 295} {
		rng := rand.New(rand.NewPCG(uint64(daemons), 1))
		sent := 0
		quotas := quotaFleet(rng, daemons, limit)
		for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
			for _, q := range quotas {
				for q.Spend(at(now)) {
					sent++
				}
			}
		}
		must.Between(t, 0.95*limit*span.Seconds(), float64(sent), 1.05*limit*span.Seconds(), must.Sprintf("%d daemons", daemons))
	}
}

// There are no tokens before the instant that Next returns.
func TestQuotaNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := rrbudget.NewQuota(0, rrbudget.NewQuotaPhase(rapid.IntRange(0, 99).Draw(t, "index"), 100, 0, time.Hour))
		q.SetRate(0, rrunit.Rate(rapid.Float64Range(0, 60).Draw(t, "rate")))
		now := at(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		for q.Spend(now) {
		}
		next := q.Next(now)
		if next <= now {
			t.Fatalf("next tokens at %d, now is %d", next, now)
		}
		if got := q.Available(next - 1); got != 0 {
			t.Fatalf("%d tokens before the next are issued", got)
		}
	})
}

// The phase of a daemon is the same whenever it is determined, as long as its clocks agree.
func TestQuotaPhaseIsStable(t *testing.T) {
	want := rrbudget.NewQuotaPhase(3, 9, 0, time.Hour+20*time.Millisecond)
	for ms := range time.Duration(200) {
		now := ms * time.Millisecond
		must.True(t, want == rrbudget.NewQuotaPhase(3, 9, at(now), time.Hour+20*time.Millisecond+now))
	}
}

// Unused tokens expire.
func TestQuotaExpires(t *testing.T) {
	q := rrbudget.NewQuota(0, rrbudget.QuotaPhase{})
	q.SetRate(0, 20)
	must.Between(t, 18, q.Available(at(time.Second)), 21)
	must.Between(t, 18, q.Available(at(time.Hour)), 21)
	q.SetRate(at(time.Hour), 0)
	must.Eq(t, 0, q.Available(at(time.Hour+2*time.Second)))
}
