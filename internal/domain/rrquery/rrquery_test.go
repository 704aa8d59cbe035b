package rrquery_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"service":"luettelo","body":{"terms":"84.2"}}`,
		`{"service":"luettelo","rank":"shelf","deadline":"2s","limit":100,"caller":"x","body":null}`,
		`{"service":"painojono","idempotent":false,"caller":"x","id":"0191d1f0-0000-7000-8000-000000000001","body":1}`,
		`{"service":"luettelo","key":"k","deadline":"-1s","body":1}`,
	} {
		f.Add([]byte(text))
	}
	def, err := rrexample.Selkamerkki()
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := rrquery.Decode(b, def)
		if err != nil {
			return
		}
		must.NotNil(t, def.Service(q.Service))
		rank := def.RankIndex(q.Rank)
		must.GreaterEq(t, 0, rank)
		must.Between(t, rrunit.Duration(1), q.Deadline, def.Ranks[rank].MaxDeadline)
		must.Between(t, 1, q.Limit, def.Limits.Hits)
		must.LessEq(t, int(def.Limits.Body), len(q.Body))
		must.True(t, json.Valid(q.Body))
		if !q.IsIdempotent() {
			_, err := rrquery.IDTime(q.ID)
			must.NoError(t, err)
			must.NotEq(t, "", q.Caller)
		}
	})
}
