package rrfollow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rroutput"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
)

// recordStore keeps recorded quarantines. Its first call fails.
type recordStore struct {
	rrobject.Store

	mu       sync.Mutex
	isCalled bool
	era      rrcatalog.Era
	records  map[rrcatalog.QuarantineName]rrcatalog.Quarantine
}

func (s *recordStore) PutQuarantine(_ context.Context, name rrcatalog.QuarantineName, q rrcatalog.Quarantine) (rrcatalog.Era, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCalled {
		s.isCalled = true
		return 0, errors.New("the store is away")
	}
	s.records[name] = q
	return s.era, nil
}

func (s *recordStore) DeleteQuarantine(_ context.Context, name rrcatalog.QuarantineName) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, name)
	return nil
}

// restore loses all records, with the next era.
func (s *recordStore) restore() rrcatalog.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.records)
	return s.era
}

func (s *recordStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

func newRecordingFollower(t *testing.T, store rrobject.Store) *Follower {
	t.Helper()
	logger := rrlog.New(&rroutput.Output{})
	t.Cleanup(logger.Close)
	return New(Config{
		Self: rrcatalog.Instance{ID: "d1"}, Store: store, Log: logger, Metrics: rrmetrics.NewGatewayMetrics(),
		Quarantine: func(rrpeer.Quarantine) {},
	})
}

// A quarantine is recorded until its end, though the store fails at first, or is restored from
// a copy without it.
func TestQuarantinesAreRecordedUntilTheirEnd(t *testing.T) {
	store := &recordStore{era: 1, records: make(map[rrcatalog.QuarantineName]rrcatalog.Quarantine)}
	f := newRecordingFollower(t, store)
	f.era = 1
	ctx, stop := context.WithCancel(t.Context())
	var worker sync.WaitGroup
	worker.Go(func() { f.recordVerdicts(ctx) })
	defer worker.Wait()
	defer stop()
	has := func(n int) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return store.count() == n }), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	}
	f.AnnounceQuarantine(rrpeer.Quarantine{Fingerprint: 7, TimeLeft: rrunit.Duration(4 * time.Second)})
	has(1)
	must.Eq(t, "d1", store.records["7"].By)
	era := store.restore()
	f.mu.Lock()
	f.recordRestore(era)
	f.mu.Unlock()
	has(1)
	has(0)
}

// Guards against records that stay for ever: the daemon that decided on a quarantine is gone for
// good before its end.
func TestRecordsOfGoneDaemonsAreTakenOver(t *testing.T) {
	f := newRecordingFollower(t, nil)
	revision, err := rrcatalog.NewRevision(1, 5)
	must.NoError(t, err)
	instance := func(id rrunit.InstanceID) rrcatalog.Entry[rrcatalog.Instance] {
		return rrcatalog.Entry[rrcatalog.Instance]{Revision: revision, Value: &rrcatalog.Instance{ID: id}}
	}
	f.instances = f.instances.With(rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance]{
		Revision: revision, Full: true, Entries: map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]{"d1": instance("d1"), "d2": instance("d2")},
	})
	entry := func(by rrunit.InstanceID) rrcatalog.Entry[rrcatalog.Quarantine] {
		return rrcatalog.Entry[rrcatalog.Quarantine]{Revision: revision, Value: &rrcatalog.Quarantine{By: by, Until: time.Now().Add(-time.Minute).UnixMilli()}}
	}
	f.takeRecord(map[rrcatalog.QuarantineName]rrcatalog.Entry[rrcatalog.Quarantine]{"2": entry("d2"), "3": entry("gone")})
	must.Eq(t, []rrunit.Fingerprint{3}, f.dueVerdicts())
}

// A daemon applies the quarantines that others have recorded, and takes over the removal of
// its own.
func TestRecordedQuarantinesAreTaken(t *testing.T) {
	now := time.Now()
	f := newRecordingFollower(t, nil)
	var taken []rrunit.Fingerprint
	f.cfg.Quarantine = func(q rrpeer.Quarantine) {
		must.Between(t, 0, q.TimeLeft, rrunit.Duration(2*time.Hour))
		taken = append(taken, q.Fingerprint)
	}
	revision, err := rrcatalog.NewRevision(1, 5)
	must.NoError(t, err)
	entry := func(by rrunit.InstanceID, left time.Duration) rrcatalog.Entry[rrcatalog.Quarantine] {
		return rrcatalog.Entry[rrcatalog.Quarantine]{Revision: revision, Value: &rrcatalog.Quarantine{By: by, Until: now.Add(left).UnixMilli()}}
	}
	f.takeRecord(map[rrcatalog.QuarantineName]rrcatalog.Entry[rrcatalog.Quarantine]{
		"1":     entry("d1", time.Minute),
		"2":     entry("d2", time.Minute),
		"3":     entry("d1", -time.Minute),
		"4":     entry("d2", -time.Minute),
		"a5":    entry("d2", 1000*time.Hour),
		"other": entry("d2", time.Minute),
		"6":     {Revision: revision, Removed: true},
	})
	slices.Sort(taken)
	must.Eq(t, []rrunit.Fingerprint{1, 2, 0xa5}, taken)
	must.Eq(t, []rrunit.Fingerprint{3}, f.dueVerdicts())
}
