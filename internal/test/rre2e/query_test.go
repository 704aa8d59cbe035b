package rre2e_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

func TestCompleteAnswer(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	for _, d := range c.daemons {
		q := &rrquery.Query{Service: "search", Rank: "urgent", Limit: 20, Body: json.RawMessage(`{"terms":"84.2"}`)}
		a := c.query(t, d, q)
		must.Eq(t, rrquery.OutcomeComplete, a.Outcome)
		must.Len(t, 10, a.Covered)
		must.SliceEmpty(t, a.Missing)
		must.Len(t, 20, a.Hits)
		c.checkHits(t, q, a)
	}
}

func TestInvalidQueryErrorNamesField(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, def: smallDefinition(t, 1, 1)})
	for body, field := range map[string]string{
		`{"service":"search","body":1,"colour":"red"}`:  "colour",
		`{"service":"nowhere","body":1}`:                "service",
		`{"service":"search","rank":"royal","body":1}`:  "rank",
		`{"service":"search","deadline":"1h","body":1}`: "deadline",
		`{"service":"search","limit":1000,"body":1}`:    "limit",
		`{"service":"search","limit":"ten","body":1}`:   "limit",
		`{"service":`:          "(body)",
		`{"service":"search"}`: "body",
		`{"service":"print","idempotent":false,"caller":"x","body":1}`:              "id",
		`{"service":"print","idempotent":false,"caller":"x","id":"7","body":"a"}`:   "id",
		`{"service":"print","idempotent":false,"id":"0","caller":"","body":"text"}`: "caller",
	} {
		status, b, err := c.post(c.daemons[0], []byte(body))
		must.NoError(t, err)
		must.Eq(t, http.StatusBadRequest, status, must.Sprint(body))
		var p rrhttp.Problem
		must.NoError(t, json.Unmarshal(b, &p))
		must.Eq(t, field, p.Field, must.Sprint(body, p.Error))
		must.True(t, p.NotRun)
	}
}

func TestStopExitsWithoutError(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, def: smallDefinition(t, 2, 1)})
	c.daemons[0].signal(t, syscall.SIGTERM)
	must.NoError(t, c.daemons[0].wait(t, 10*time.Second))
}
