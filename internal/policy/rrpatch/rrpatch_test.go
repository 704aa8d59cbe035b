package rrpatch_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

const raiseHits = `[{"op":"replace","path":"/limits/hits","value":50}]`

func example(t testing.TB) *rrdefinition.Definition {
	def, err := rrexample.Lakeside()
	must.NoError(t, err)
	return def
}

func change(n int) rrunit.ChangeID {
	return rrunit.ChangeID(fmt.Sprintf("0191d1f0-0000-7000-8000-%012d", n))
}

func submit(base rrunit.DefinitionNumber, n int, patch string) *rrpatch.Submission {
	return &rrpatch.Submission{Base: base, Change: change(n), Patch: json.RawMessage(patch)}
}

func apply(def *rrdefinition.Definition, s *rrpatch.Submission) rrpatch.Result {
	return rrpatch.Apply(def, s, rrstore.MaxValueSize)
}

func TestAcceptedRepeatedAndConflict(t *testing.T) {
	first := example(t)
	r := apply(first, submit(1, 1, raiseHits))
	must.Eq(t, rrpatch.OutcomeAccepted, r.Outcome)
	must.Eq(t, 2, r.Number)
	must.Eq(t, 50, r.Next.Limits.Hits)
	must.Eq(t, 100, first.Limits.Hits)
	second, err := rrdefinition.Decode(r.Value)
	must.NoError(t, err)

	r = apply(second, submit(1, 1, ` [ {"op":"replace", "path":"/limits/hits", "value":50} ]`))
	must.Eq(t, rrpatch.OutcomeRepeated, r.Outcome)
	must.Eq(t, 2, r.Number)

	r = apply(second, submit(1, 2, raiseHits))
	must.Eq(t, rrpatch.OutcomeConflict, r.Outcome)
	must.Eq(t, 2, r.Number)

	r = apply(second, submit(2, 1, raiseHits))
	must.Eq(t, rrpatch.OutcomeInvalid, r.Outcome)
	must.Eq(t, "change", fieldOf(t, r.Err))
}

func TestFirstDefinition(t *testing.T) {
	content := example(t)
	content.Number = 0
	b, err := json.Marshal(map[string]any{
		"ranks": content.Ranks, "limits": content.Limits, "services": content.Services,
	})
	must.NoError(t, err)
	patch := fmt.Sprintf(`[{"op":"add","path":"","value":%s}]`, b)
	r := apply(nil, submit(0, 1, patch))
	must.NoError(t, r.Err)
	must.Eq(t, rrpatch.OutcomeAccepted, r.Outcome)
	must.Eq(t, 1, r.Number)
	must.Eq(t, content.Services, r.Next.Services)
	must.Eq(t, rrpatch.OutcomeConflict, apply(r.Next, submit(0, 2, patch)).Outcome)
}

func fieldOf(t *testing.T, err error) string {
	t.Helper()
	fe, ok := errors.AsType[*rrunit.FieldError](err)
	must.True(t, ok, must.Sprint(err))
	return fe.Field
}

func TestInvalidNamesTheField(t *testing.T) {
	for _, c := range []struct{ patch, field string }{
		{`[{"op":"replace","path":"/number","value":9}]`, "number"},
		{`[{"op":"remove","path":"/changes"}]`, "changes"},
		{`[{"op":"copy","from":"/changes","path":"/x"}]`, "changes"},
		{`[{"op":"add","path":"/changes/0","value":{}}]`, "changes"},
		{`[{"op":"add","path":"/Number","value":9}]`, "number"},
		{`[{"op":"replace","path":"","value":{"number":7}}]`, "number"},
		{`[{"op":"add","path":"/colour","value":"red"}]`, "colour"},
		{`[{"op":"replace","path":"/limits/hits","value":0}]`, "limits.hits"},
		{`[{"op":"replace","path":"/limits/hits","value":"ten"}]`, "limits.hits"},
		{`[{"op":"replace","path":"/limits/claims","value":"3 moons"}]`, "limits.claims"},
		{`[{"op":"remove","path":"/ranks"}]`, "ranks"},
		{`[{"op":"replace","path":"/ranks/0/floor","value":0.9}]`, "ranks"},
		{`[{"op":"replace","path":"/services/1/name","value":"counter-app"}]`, "services[1].name"},
		{`[{"op":"replace","path":"/services/0/layouts/0/shards/0/searchers/0/address","value":"host"}]`, "services[0].layouts[0].shards[0].searchers[0].address"},
		{`[{"op":"test","path":"/limits/hits","value":7}]`, "patch"},
		{`[{"op":"replace","path":"/nowhere/x","value":1}]`, "patch"},
		{`[{"op":"erase","path":"/limits"}]`, "patch[0].op"},
		{`[{"op":"add","path":"/limits"}]`, "patch[0].value"},
		{`[{"op":"add","value":1}]`, "patch[0].path"},
		{`[{"op":"move","path":"/limits"}]`, "patch[0].from"},
		{`[{"op":"remove","path":"limits"}]`, "patch[0].path"},
		{`[]`, "patch"},
		{`{}`, "patch"},
		{`[{"op":"add","path":"/services/0/name","value":"` + strings.Repeat("x", 200) + `"}]`, "services[0].name"},
	} {
		r := apply(example(t), submit(1, 1, c.patch))
		must.Eq(t, rrpatch.OutcomeInvalid, r.Outcome, must.Sprint(c.patch))
		must.Eq(t, c.field, fieldOf(t, r.Err), must.Sprint(c.patch, r.Err))
		must.Nil(t, r.Next)
	}
	r := rrpatch.Apply(example(t), submit(1, 1, raiseHits), 1000)
	must.Eq(t, "patch", fieldOf(t, r.Err))
}

func TestChangesAreBounded(t *testing.T) {
	def := example(t)
	for n := range rrdefinition.MaxChanges + 10 {
		r := apply(def, submit(def.Number, n, raiseHits))
		must.Eq(t, rrpatch.OutcomeAccepted, r.Outcome)
		def = r.Next
	}
	must.Len(t, rrdefinition.MaxChanges, def.Changes)
	must.Eq(t, rrpatch.OutcomeRepeated, apply(def, submit(11, 10, raiseHits)).Outcome)
	must.Eq(t, rrpatch.OutcomeConflict, apply(def, submit(10, 9, raiseHits)).Outcome)
}

func TestLargeDefinitionIsStoredCompressed(t *testing.T) {
	def := example(t)
	var services []string
	for n := range 120 {
		s := def.Services[1]
		b, err := json.Marshal(s)
		must.NoError(t, err)
		text := strings.ReplaceAll(string(b), "staff-roster", fmt.Sprintf("roster-%d", n))
		services = append(services, fmt.Sprintf(`{"op":"add","path":"/services/-","value":%s}`, text))
	}
	r := apply(def, submit(1, 1, "["+strings.Join(services, ",")+"]"))
	must.NoError(t, r.Err)
	b, err := json.Marshal(r.Next)
	must.NoError(t, err)
	must.Less(t, len(b)/2, len(r.Value))
	again, err := rrdefinition.Decode(r.Value)
	must.NoError(t, err)
	must.Eq(t, r.Next.Services, again.Services)
}

func FuzzApply(f *testing.F) {
	for _, patch := range []string{
		raiseHits, `[{"op":"add","path":"","value":null}]`, `[{"op":"copy","from":"","path":"/services/0"}]`,
		`[{"op":"move","from":"/ranks/0","path":"/ranks/-"}]`, `[{"op":"test","path":"","value":[]}]`, `[null]`,
	} {
		f.Add(patch)
	}
	def := example(f)
	f.Fuzz(func(t *testing.T, patch string) {
		body, err := json.Marshal(map[string]any{"base": 1, "change": uuid.Nil.String(), "patch": json.RawMessage(patch)})
		if err != nil {
			t.Skip()
		}
		s, err := rrpatch.Decode(body)
		if err != nil {
			return
		}
		r := apply(def, s)
		switch r.Outcome {
		case rrpatch.OutcomeAccepted:
			must.Eq(t, 2, r.Next.Number)
			must.Eq(t, rrpatch.OutcomeRepeated, apply(r.Next, s).Outcome)
		default:
			must.Eq(t, rrpatch.OutcomeInvalid, r.Outcome)
			must.Error(t, r.Err)
		}
	})
}
