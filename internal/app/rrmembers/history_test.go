package rrmembers_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrplatform"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmembers"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

const (
	key       rrstore.Key = "definition"
	operators             = 50
	changes               = 2
	loss                  = 0.1
)

// fleet is several control planes that reach each other without a network, and
// the stand-in of the platform.
type fleet struct {
	platform *rrplatformfake.Platform
	client   *rrplatform.Client

	// mu guards everything below.
	mu      sync.Mutex
	members map[string]*member
	list    rrstore.List
}

type member struct {
	*rrmembers.Members
	stop context.CancelFunc
	done chan struct{}
	// numbers are those that were put in use, in order.
	numbers []rrunit.DefinitionNumber
}

// Control implements rrpeers.Controls.
func (f *fleet) Control(address string) (rrpeers.ControlClient, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	if m == nil || rand.Float64() < loss {
		return nil, errors.New("message lost")
	}
	return m, nil
}

func (f *fleet) start(id string, seeds ...string) {
	ctx, stop := context.WithCancel(context.Background())
	m := &member{stop: stop, done: make(chan struct{})}
	m.Members = rrmembers.New(rrmembers.Config{
		Self: rrmember.Peer{ID: rrunit.InstanceID(id), Zone: "z", Address: id},
		Key:  key, Platform: f.client, Controls: f, Seeds: seeds,
		ListInterval: 100 * time.Millisecond, Log: log.New(io.Discard),
	}, rrmembers.WithDefinition(func(d *rrdefinition.Definition) { m.numbers = append(m.numbers, d.Number) }))
	f.mu.Lock()
	f.members[id] = m
	f.list.Instances = append(f.list.Instances, rrstore.Instance{
		ID: rrunit.InstanceID(id), Peer: id, Zone: "z", State: rrstore.InstanceLive,
	})
	f.publish()
	f.mu.Unlock()
	go func() {
		m.Run(ctx)
		close(m.done)
	}()
}

// publish gives the platform the list. The caller holds mu.
func (f *fleet) publish() {
	f.platform.SetList(rrstore.List{Instances: append([]rrstore.Instance{}, f.list.Instances...)})
}

func (f *fleet) stop(id string) *member {
	f.mu.Lock()
	m := f.members[id]
	delete(f.members, id)
	kept := f.list.Instances[:0:0]
	for _, in := range f.list.Instances {
		if string(in.ID) != id {
			kept = append(kept, in)
		}
	}
	f.list.Instances = kept
	f.publish()
	f.mu.Unlock()
	m.stop()
	<-m.done
	return m
}

func newFleet(t *testing.T) *fleet {
	platform := rrplatformfake.New()
	server := httptest.NewServer(platform)
	f := &fleet{platform: platform, client: rrplatform.New(server.URL), members: make(map[string]*member)}
	t.Cleanup(func() {
		f.client.Close()
		server.Close()
		goleak.VerifyNone(t)
	})
	def, err := rrexample.Lakeside()
	must.NoError(t, err)
	b, err := json.Marshal(def)
	must.NoError(t, err)
	must.NoError(t, platform.Seed(key, b))
	return f
}

// submit applies one change and returns the number that it got. A racy operator
// writes over what it has not read.
func submit(ctx context.Context, store rrstore.Store, id rrunit.ChangeID, racy bool) rrunit.DefinitionNumber {
	for {
		o, err := store.Get(ctx, key)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		def, err := rrdefinition.Decode(o.Value)
		if err != nil {
			return 0
		}
		for _, c := range def.Changes {
			if c.ID == id {
				return c.Number
			}
		}
		def.Number++
		def.Changes = append(def.Changes, rrdefinition.Change{ID: id, Number: def.Number})
		b, err := json.Marshal(def)
		if err != nil {
			return 0
		}
		base := o.Version
		if now, err := store.Get(ctx, key); racy && err == nil {
			base = now.Version
		}
		if _, err := store.Put(ctx, key, b, base); err == nil {
			return def.Number
		}
	}
}

// race has all operators submit their changes and returns the history.
func race(t *testing.T, store rrstore.Store, racy bool) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	for op := range operators {
		wg.Go(func() {
			for i := range changes {
				id := rrunit.ChangeID(fmt.Sprintf("c%d-%d", op, i))
				call := time.Since(start)
				number := submit(t.Context(), store, id, racy)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: op, Call: int64(call), Output: number, Return: int64(time.Since(start)),
				})
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return history
}

// numbered is the model of the definition: each change gets the next number.
func numbered() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return rrunit.DefinitionNumber(1) },
		Step: func(state, _, output any) (bool, any) {
			last, _ := state.(rrunit.DefinitionNumber)
			number, _ := output.(rrunit.DefinitionNumber)
			return number == last+1, number
		},
	}
}

func TestDefinitionUnderFaults(t *testing.T) {
	f := newFleet(t)
	for i := range 8 {
		f.start(fmt.Sprintf("d%d", i))
	}
	for _, m := range f.members {
		for m.Number() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	faults := make(chan []*member)
	go func() { faults <- f.disturb() }()
	history := race(t, f.client, false)
	gone := <-faults
	must.True(t, porcupine.CheckOperations(numbered(), history))

	last := rrunit.DefinitionNumber(1 + operators*changes)
	end := time.Now().Add(30 * time.Second)
	for id, m := range f.members {
		for m.Status().Converged != last {
			must.True(t, time.Now().Before(end), must.Sprint(id, m.Status()))
			time.Sleep(20 * time.Millisecond)
		}
		must.Eq(t, last, m.Number(), must.Sprint("what is in force is in use"))
	}
	for id := range f.members {
		gone = append(gone, f.stop(id))
	}
	for _, m := range gone {
		must.NonZero(t, len(m.numbers))
		for i := 1; i < len(m.numbers); i++ {
			must.Less(t, m.numbers[i], m.numbers[i-1])
		}
	}
}

// disturb runs through the faults and returns the members that were stopped.
func (f *fleet) disturb() []*member {
	var gone []*member
	time.Sleep(200 * time.Millisecond)
	f.platform.SetFaults(rrplatformfake.Faults{LoseAnswers: 20})
	time.Sleep(200 * time.Millisecond)
	f.platform.SetFaults(rrplatformfake.Faults{Down: true})
	f.start("late", "d6")
	for f.members["late"].Number() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 4 {
		gone = append(gone, f.stop(fmt.Sprintf("d%d", i)))
		f.start(fmt.Sprintf("new%d", i), "d6", "d7")
	}
	f.platform.SetFaults(rrplatformfake.Faults{Stale: 3})
	time.Sleep(300 * time.Millisecond)
	f.platform.SetFaults(rrplatformfake.Faults{LoseAnswers: 5})
	return gone
}

// TestHistoryCheckFindsLostChanges shows that the check fails where operators
// write over changes that they have not read.
func TestHistoryCheckFindsLostChanges(t *testing.T) {
	f := newFleet(t)
	must.False(t, porcupine.CheckOperations(numbered(), race(t, f.client, true)))
}
