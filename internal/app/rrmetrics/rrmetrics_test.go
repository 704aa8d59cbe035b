package rrmetrics_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func TestMetrics(t *testing.T) {
	var now rrunit.Instant
	clock := rrmetrics.WithClock(func() rrunit.Instant { return now })
	m := rrmetrics.NewQueryMetrics(clock)
	other := rrmetrics.NewQueryMetrics(clock)
	q := &rrquery.Query{Rank: "shelf"}
	for n := range 100 {
		m.Record(q, &rrquery.Answer{Outcome: rrquery.OutcomeComplete}, time.Duration(n+1)*time.Millisecond)
	}
	m.Record(q, &rrquery.Answer{Outcome: rrquery.OutcomePartial, Reason: rrquery.ReasonLost}, time.Hour)
	m.Record(q, &rrquery.Answer{Outcome: rrquery.OutcomeRefused, Reason: rrquery.ReasonOverload}, 0)

	got := m.Latency()["shelf"]
	must.Eq(t, 101, got.Count)
	must.Between(t, 50*time.Millisecond, got.P50.Std(), 52*time.Millisecond)
	must.Greater(t, 59*time.Second, got.Max.Std())

	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var vars struct {
		Rhubarbreel struct {
			Outcomes map[string]map[string]int
			Partial  map[string]int
			Refused  map[string]int
			Inflight int
		}
	}
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &vars))
	must.Eq(t, map[string]int{"complete": 100, "partial": 1, "refused": 1}, vars.Rhubarbreel.Outcomes["shelf"])
	must.Eq(t, map[string]int{"lost": 1}, vars.Rhubarbreel.Partial)
	must.Eq(t, map[string]int{"overload": 1}, vars.Rhubarbreel.Refused)
	must.MapEmpty(t, other.Latency())

	now = now.Add(59 * time.Second)
	must.Eq(t, 101, m.Latency()["shelf"].Count)
	now = now.Add(time.Hour)
	must.Eq(t, 0, m.Latency()["shelf"].Count)
}

// A collector that keeps the first kilobytes alone gets the daemon's own variables.
func TestOwnVariablesComeFirst(t *testing.T) {
	m := rrmetrics.NewGatewayMetrics()
	m.Count(rrmetrics.GroupQuarantines, "own")
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	must.True(t, json.Valid(w.Body.Bytes()))
	body := w.Body.String()
	must.StrContains(t, body, `"quarantines": {"own": 1}`)
	must.Less(t, strings.Index(body, `"memstats"`), strings.Index(body, `"quarantines"`))
}
