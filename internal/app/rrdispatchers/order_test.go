package rrdispatchers_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// gatedForwarder blocks one call about a searcher while a gate is set.
type gatedForwarder struct {
	rrforward.Forwarder
	gate atomic.Pointer[gate]
}

type gate struct{ entered, release chan struct{} }

func (*gatedForwarder) Connect(context.Context, rrforward.Target) error { return nil }

func (f *gatedForwarder) IdleConnections(rrforward.Target) int {
	if g := f.gate.Swap(nil); g != nil {
		close(g.entered)
		<-g.release
	}
	return 1
}

const (
	orderServices = 12
	second        = rrunit.Duration(time.Second)
)

func orderService(n int) rrunit.ServiceName { return rrunit.ServiceName(fmt.Sprintf("s%d", n)) }

// orderCatalog returns a catalog in which each service, a shard, has one searcher in the state.
func orderCatalog(t *testing.T, state rrcatalog.SearcherState) *rrcatalog.Catalog {
	t.Helper()
	c := &rrcatalog.Catalog{Sharers: 1, Searchers: make(map[rrunit.ServiceName][]rrcatalog.Searcher)}
	table := &rrroute.Table{Number: 1, Limits: rrroute.Limits{Header: 1 << 10, Body: 1 << 10, HeaderTimeout: second, IdleTimeout: second}}
	route := rrroute.Route{Host: "x", Prefix: "/", Kind: rrroute.KindIdempotent, Timeout: second, Attempts: 1, TopK: 1, MinCoverage: 1}
	for n := range orderServices {
		name := orderService(n)
		route.Shards = append(route.Shards, name)
		table.Services = append(table.Services, rrroute.Service{Name: name, Connections: 9})
		c.Searchers[name] = []rrcatalog.Searcher{{
			ID: rrunit.SearcherID(name), Service: name, Address: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Slots: 4, State: state, Incarnation: 1,
		}}
	}
	table.Routes = []rrroute.Route{route}
	must.NoError(t, table.Build())
	c.Table = table
	return c
}

func newGated(t *testing.T) (*rrdispatchers.Dispatchers, *gatedForwarder) {
	t.Helper()
	logger := rrlog.New(io.Discard)
	t.Cleanup(logger.Close)
	f := &gatedForwarder{}
	ctx, stop := context.WithCancel(context.Background())
	p := rrdispatchers.New(ctx, orderSettings(), f, logger, rrmetrics.NewGatewayMetrics())
	t.Cleanup(func() {
		stop()
		p.Wait()
	})
	return p, f
}

func orderSettings() *rrsettings.GatewaySettings {
	return &rrsettings.GatewaySettings{Zone: "a", Bounds: rrsettings.Bounds{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraSlack: 50}}
}

// openServices returns the services whose searcher still gets jobs.
func openServices(p *rrdispatchers.Dispatchers) []rrunit.ServiceName {
	var out []rrunit.ServiceName
	for name, state := range p.State() {
		for _, s := range state.Searchers {
			if !s.Closed {
				out = append(out, name)
			}
		}
	}
	return out
}

// Guards against requests to searchers that left long ago: settings that are taken while
// searchers begin to leave must not bring back the catalog in which they do not.
func TestSettingsKeepTheLatestCatalog(t *testing.T) {
	for range 5 {
		p, f := newGated(t)
		p.Update(orderCatalog(t, rrcatalog.SearcherReady))
		must.SliceLen(t, orderServices, openServices(p))
		g := &gate{entered: make(chan struct{}), release: make(chan struct{})}
		f.gate.Store(g)
		var calls sync.WaitGroup
		calls.Go(func() { p.SetSettings(orderSettings()) })
		<-g.entered
		calls.Go(func() { p.Update(orderCatalog(t, rrcatalog.SearcherDraining)) })
		time.Sleep(20 * time.Millisecond)
		close(g.release)
		calls.Wait()
		must.SliceEmpty(t, openServices(p))
	}
}

// Guards against the same of a service that gets its first request as searchers begin to
// leave: its dispatcher must not keep the catalog of before.
func TestFirstRequestDuringUpdate(t *testing.T) {
	for range 400 {
		p, _ := newGated(t)
		ready, leaving := orderCatalog(t, rrcatalog.SearcherReady), orderCatalog(t, rrcatalog.SearcherDraining)
		ready.Table, leaving.Table = nil, nil
		p.Update(ready)
		var calls sync.WaitGroup
		start := make(chan struct{})
		calls.Go(func() {
			<-start
			p.Update(leaving)
		})
		for n := range orderServices {
			calls.Go(func() {
				<-start
				p.Refusals([]rrunit.ServiceName{orderService(n)}, 0)
			})
		}
		close(start)
		calls.Wait()
		must.SliceEmpty(t, openServices(p))
	}
}
