package rroperate_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rroperate"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// flakyStore is a store that fails at random: it refuses calls, loses answers to
// writes with and without effect, and applies some of these writes late.
type flakyStore struct {
	*scriptedStore
	faultMu       sync.Mutex
	rng           *rand.Rand
	delayedWrites []func()
}

func (f *flakyStore) random() float64 {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.rng.Float64()
}

// applyDelayedWrites applies the delayed writes whose base version is still current.
func (f *flakyStore) applyDelayedWrites() {
	f.faultMu.Lock()
	writes := f.delayedWrites
	f.delayedWrites = nil
	f.faultMu.Unlock()
	for _, write := range writes {
		write()
	}
}

func (f *flakyStore) Get(ctx context.Context, k rrstore.Key) (rrstore.Object, error) {
	switch r := f.random(); {
	case r < 0.1:
		return rrstore.Object{}, rrstore.ErrUnavailable
	case r < 0.4:
		f.applyDelayedWrites()
	}
	return f.scriptedStore.Get(ctx, k)
}

func (f *flakyStore) Put(ctx context.Context, k rrstore.Key, value []byte, base rrstore.Version) (rrstore.Version, error) {
	write := func() (rrstore.Version, error) { return f.scriptedStore.Put(ctx, k, value, base) }
	switch r := f.random(); {
	case r < 0.1:
		return 0, rrstore.ErrUnavailable
	case r < 0.3:
		_, _ = write()
		return 0, rrstore.ErrUncertain
	case r < 0.5:
		f.faultMu.Lock()
		f.delayedWrites = append(f.delayedWrites, func() { _, _ = write() })
		f.faultMu.Unlock()
		return 0, rrstore.ErrUncertain
	}
	return write()
}

// operation is a submission, or a read if change is empty.
type operation struct {
	base   rrunit.DefinitionNumber
	change rrunit.ChangeID
}

type result struct {
	rrpatch.Result
	err error
}

// definitionModel is the model of the definition. Its state is the list of accepted
// changes in order.
func definitionModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{""} },
		Equal: func(a, b any) bool { return a == b },
		Step: func(state, in, out any) []any {
			s, _ := state.(string)
			i, _ := in.(operation)
			o, _ := out.(result)
			return stepDefinition(s, i, o)
		},
	}
	return m.ToModel()
}

func stepDefinition(state string, in operation, out result) []any {
	changes := strings.Fields(state)
	number := rrunit.DefinitionNumber(len(changes) + 1)
	next := state + " " + string(in.change)
	accepts := in.base == number && !strings.Contains(state, string(in.change))
	keep := []any{state}
	switch {
	case in.change == "":
		if out.Number == number {
			return keep
		}
	case errors.Is(out.err, rrstore.ErrUncertain):
		if accepts {
			return []any{state, next}
		}
		return keep
	case out.err != nil:
		return keep
	case out.Outcome == rrpatch.OutcomeAccepted:
		if accepts && out.Number == number+1 {
			return []any{next}
		}
	case out.Outcome == rrpatch.OutcomeConflict:
		if in.base != number && out.Number == number {
			return keep
		}
	case out.Outcome == rrpatch.OutcomeRepeated:
		if int(out.Number) <= len(changes)+1 && changes[out.Number-2] == string(in.change) {
			return keep
		}
	}
	return nil
}

// recorder collects the operations of a history.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, in operation, do func() result) result {
	call := time.Since(r.start).Nanoseconds()
	out := do()
	end := time.Since(r.start).Nanoseconds()
	if errors.Is(out.err, rrstore.ErrUncertain) {
		// The write may take effect at any later time.
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	return out
}

// runOperator submits changes with the last number that it has read as base, and
// submits a change again if its outcome is unknown.
func runOperator(t *testing.T, f *flakyStore, r *recorder, client int) {
	e := rroperate.New(f, key, rroperate.WithRetryDelay(50*time.Microsecond))
	base := rrunit.DefinitionNumber(1)
	for n := range 6 {
		s := submission(base, 100*client+n+1)
		for range 3 {
			out := r.record(client, operation{s.Base, s.Change}, func() result {
				res, err := e.Patch(t.Context(), s)
				return result{res, err}
			})
			if out.err == nil {
				break
			}
		}
		read := r.record(client, operation{}, func() result {
			def, err := rrdefinition.Decode(f.value())
			must.NoError(t, err)
			return result{Result: rrpatch.Result{Number: def.Number}}
		})
		base = read.Number
	}
}

func (s *scriptedStore) value() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object.Value
}

func TestConcurrentChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &flakyStore{scriptedStore: newScriptedStore(t), rng: rand.New(rand.NewPCG(seed, seed))}
			r := &recorder{start: time.Now()}
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() { runOperator(t, f, r, client) })
			}
			wg.Wait()
			verdict := porcupine.CheckOperationsTimeout(definitionModel(), r.ops, time.Minute)
			must.Eq(t, porcupine.Ok, verdict)
		})
	}
}
