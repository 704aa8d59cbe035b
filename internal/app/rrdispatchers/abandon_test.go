package rrdispatchers_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// searchers answers each request after a while.
type searchers struct {
	takes time.Duration
	// failing makes the dispatcher of that searcher's service panic.
	failing atomic.Pointer[rrunit.SearcherID]
	// lost is set if connections are lost under requests, after which the check panics.
	lost atomic.Bool
	sent chan rrforward.Target
}

func (s *searchers) Forward(ctx context.Context, to rrforward.Target, _ *rrforward.Request, _ time.Duration) rrforward.Response {
	s.sent <- to
	if s.lost.Load() {
		return rrforward.Response{Outcome: rrupstream.OutcomeConnectionLost, Err: io.EOF}
	}
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return rrforward.Response{Outcome: rrupstream.OutcomeCancelled, Err: ctx.Err()}
	}
	return rrforward.Response{Outcome: rrupstream.OutcomeAnswered, Status: http.StatusOK, Header: http.Header{}, Signature: "sig"}
}

func (*searchers) IsDead(context.Context, rrforward.Target) bool { panic("no check") }

func (s *searchers) IdleConnections(to rrforward.Target) int {
	if id := s.failing.Load(); id != nil && *id == to.ID {
		panic("no count")
	}
	return 8
}

func (*searchers) Connect(context.Context, rrforward.Target) error { return nil }

// newDispatchers returns the dispatchers of the services one and two, each with a searcher
// of the same name.
func newDispatchers(t *testing.T, s *searchers) *rrdispatchers.Dispatchers {
	t.Helper()
	logger := rrlog.New(io.Discard)
	t.Cleanup(logger.Close)
	settings := &rrsettings.GatewaySettings{Zone: "a", Bounds: rrsettings.Bounds{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraSlack: 50}}
	ctx, stop := context.WithCancel(context.Background())
	p := rrdispatchers.New(ctx, settings, s, logger, rrmetrics.NewGatewayMetrics())
	t.Cleanup(func() {
		stop()
		p.Wait()
	})
	c := &rrcatalog.Catalog{Table: &rrroute.Table{}, Searchers: make(map[rrunit.ServiceName][]rrcatalog.Searcher)}
	for _, name := range []string{"one", "two"} {
		c.Searchers[rrunit.ServiceName(name)] = []rrcatalog.Searcher{{
			ID: rrunit.SearcherID(name), Service: rrunit.ServiceName(name), Address: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Slots: 4,
			State: rrcatalog.SearcherReady, Incarnation: 1,
		}}
	}
	p.Update(c)
	return p
}

// Guards against one unexpected error in the decisions on a service that ends the daemon
// with all its connections: it ends the work of that service, which goes on with the next.
func TestUnexpectedErrorEndsTheWorkOfItsServiceOnly(t *testing.T) {
	s := &searchers{takes: 100 * time.Millisecond, sent: make(chan rrforward.Target, 16)}
	p := newDispatchers(t, s)
	offer := func(service rrunit.ServiceName) <-chan rrdispatchers.Result {
		done := make(chan rrdispatchers.Result, 2)
		job := rrdispatchers.Job{Request: &rrforward.Request{ID: "a"}, MaxAttempts: 1, Deadline: p.Clock()().Add(5 * time.Second)}
		p.Offer(service, job, func(r rrdispatchers.Result) { done <- r })
		return done
	}
	atOne, atTwo := offer("one"), offer("two")
	<-s.sent
	<-s.sent
	failing := rrunit.SearcherID("one")
	s.failing.Store(&failing)
	unsent := offer("one")
	first := <-atOne
	must.Eq(t, rrquery.ReasonInternal, first.Reason)
	must.Eq(t, rrpeer.RunMaybe, first.Run)
	second := <-unsent
	must.Eq(t, rrquery.ReasonInternal, second.Reason)
	must.Eq(t, rrpeer.RunNever, second.Run)
	must.Eq(t, rrpeer.RunDone, (<-atTwo).Run)

	s.failing.Store(nil)
	s.lost.Store(true)
	must.Eq(t, rrquery.ReasonLost, (<-offer("one")).Reason)
	s.lost.Store(false)
	for range 6 {
		// More than the searcher's slots: the slots of the attempts that ended are free.
		must.Eq(t, rrpeer.RunDone, (<-offer("one")).Run)
	}
}
