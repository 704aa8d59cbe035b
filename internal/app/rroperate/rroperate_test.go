package rroperate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rroperate"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

const key rrstore.Key = "definition"

// scriptedStore is a store of one object in memory. The script lists the faults by the
// number of the call.
type scriptedStore struct {
	mu     sync.Mutex
	object rrstore.Object
	older  rrstore.Object
	calls  int
	script map[int]fault
}

type fault string

const (
	unavailable fault = "unavailable"
	// lostBefore loses the answer to a write that has no effect, lostAfter to one
	// that takes effect.
	lostBefore fault = "lostBefore"
	lostAfter  fault = "lostAfter"
	// stale returns a version older than the one that the operator has read.
	stale fault = "stale"
	// conflicting applies another operator's change before the write.
	conflicting fault = "raced"
)

func newScriptedStore(t *testing.T) *scriptedStore {
	def, err := rrexample.Lakeside()
	must.NoError(t, err)
	b, err := json.Marshal(def)
	must.NoError(t, err)
	return &scriptedStore{object: rrstore.Object{Key: key, Version: 10, Value: b}, script: map[int]fault{}}
}

func (s *scriptedStore) Get(context.Context, rrstore.Key) (rrstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch s.script[s.calls] {
	case unavailable:
		return rrstore.Object{}, rrstore.ErrUnavailable
	case stale:
		return s.older, nil
	}
	return s.object, nil
}

func (s *scriptedStore) Put(_ context.Context, _ rrstore.Key, value []byte, base rrstore.Version) (rrstore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	f := s.script[s.calls]
	switch f {
	case unavailable:
		return 0, rrstore.ErrUnavailable
	case lostBefore:
		return 0, rrstore.ErrUncertain
	case conflicting:
		def, _ := rrdefinition.Decode(s.object.Value)
		other := rrpatch.Apply(def, submission(def.Number, 99), rrstore.MaxValueSize)
		s.object.Value = other.Value
		s.object.Version++
	}
	if base != s.object.Version {
		return 0, rrstore.ErrConflict
	}
	s.object.Version++
	s.object.Value = value
	if f == lostAfter {
		return 0, rrstore.ErrUncertain
	}
	return s.object.Version, nil
}

func (s *scriptedStore) Watch(context.Context, rrstore.Key, rrstore.Version) (rrstore.Object, error) {
	return rrstore.Object{}, rrstore.ErrUnavailable
}

func submission(base rrunit.DefinitionNumber, n int) *rrpatch.Submission {
	return &rrpatch.Submission{
		Base:   base,
		Change: rrunit.ChangeID(fmt.Sprintf("0191d1f0-0000-7000-8000-%012d", n)),
		Patch:  json.RawMessage(fmt.Sprintf(`[{"op":"replace","path":"/limits/hits","value":%d}]`, n)),
	}
}

func TestPatch(t *testing.T) {
	for name, c := range map[string]struct {
		script  map[int]fault
		outcome rrpatch.Outcome
		number  rrunit.DefinitionNumber
		err     error
		// stored is the number in the store at the end.
		stored rrunit.DefinitionNumber
	}{
		"calm":                   {nil, rrpatch.OutcomeAccepted, 2, nil, 2},
		"answer lost, effect":    {map[int]fault{2: lostAfter}, rrpatch.OutcomeAccepted, 2, nil, 2},
		"answer lost, no effect": {map[int]fault{2: lostBefore}, rrpatch.OutcomeAccepted, 2, nil, 2},
		"lost twice":             {map[int]fault{2: lostBefore, 4: lostAfter}, rrpatch.OutcomeAccepted, 2, nil, 2},
		"lost, then outage":      {map[int]fault{2: lostAfter, 3: unavailable, 4: unavailable}, rrpatch.OutcomeAccepted, 2, nil, 2},
		"another operator first": {map[int]fault{2: conflicting}, rrpatch.OutcomeConflict, 2, nil, 2},
		"down at the read":       {map[int]fault{1: unavailable}, "", 0, rrstore.ErrUnavailable, 1},
		"down at the write":      {map[int]fault{2: unavailable}, "", 0, rrstore.ErrUnavailable, 1},
		"lost, then down for long": {
			map[int]fault{2: lostAfter, 3: unavailable, 4: unavailable, 5: unavailable, 6: unavailable, 7: unavailable, 8: unavailable, 9: unavailable},
			"", 0, rrstore.ErrUncertain, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedStore(t)
			s.script = c.script
			e := rroperate.New(s, key, rroperate.WithRetryDelay(time.Millisecond))
			r, err := e.Patch(t.Context(), submission(1, 7))
			must.ErrorIs(t, err, c.err)
			must.Eq(t, c.outcome, r.Outcome)
			must.Eq(t, c.number, r.Number)
			def, err := rrdefinition.Decode(s.object.Value)
			must.NoError(t, err)
			must.Eq(t, c.stored, def.Number)
		})
	}
}

func TestStaleReadIsRetried(t *testing.T) {
	e := rroperate.New(newScriptedStore(t), key, rroperate.WithRetryDelay(time.Millisecond),
		rroperate.WithAppliedNumber(func() rrunit.DefinitionNumber { return 5 }))
	_, err := e.Patch(t.Context(), submission(1, 7))
	must.ErrorIs(t, err, rrstore.ErrUnavailable)
}

func TestRacingOperatorsGetOneNumberEach(t *testing.T) {
	s := newScriptedStore(t)
	e := rroperate.New(s, key, rroperate.WithRetryDelay(time.Millisecond))
	const operators = 8
	results := make([]rrpatch.Result, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { results[i], _ = e.Patch(t.Context(), submission(1, i+1)) })
	}
	wg.Wait()
	accepted := 0
	for _, r := range results {
		if r.Outcome == rrpatch.OutcomeAccepted {
			accepted++
			continue
		}
		must.Eq(t, rrpatch.OutcomeConflict, r.Outcome)
		must.Eq(t, 2, r.Number)
	}
	must.Eq(t, 1, accepted)
}

// TestStaleReadAfterLostAnswerIsNoConflict loses the answer to a write that took
// effect, and then returns a version older than the submission's base. The outcome
// must not be a conflict, as the change was accepted.
func TestStaleReadAfterLostAnswerIsNoConflict(t *testing.T) {
	s := newScriptedStore(t)
	s.older = s.object
	e := rroperate.New(s, key, rroperate.WithRetryDelay(time.Millisecond))
	_, err := e.Patch(t.Context(), submission(1, 7))
	must.NoError(t, err)
	s.script = map[int]fault{s.calls + 2: lostAfter, s.calls + 3: stale}
	r, err := e.Patch(t.Context(), submission(2, 8))
	must.NoError(t, err)
	must.Eq(t, rrpatch.OutcomeAccepted, r.Outcome)
	must.Eq(t, 3, r.Number)
}

// TestBaseAboveStoredNumberIsInvalid submits a change with a base above the number in
// the store, as after a stale read at a lagging daemon. It must not be a conflict,
// since the change may have been applied already.
func TestBaseAboveStoredNumberIsInvalid(t *testing.T) {
	e := rroperate.New(newScriptedStore(t), key, rroperate.WithRetryDelay(time.Millisecond))
	_, err := e.Patch(t.Context(), submission(9, 7))
	must.ErrorContains(t, err, "base: 9 is above 1")
}
