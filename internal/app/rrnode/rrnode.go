// Package rrnode wires and runs a daemon that serves callers' routes on a
// platform. It makes no decisions of its own.
package rrnode

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrconn"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrfront"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrfollow"
	"rhubarbreel.example/rhubarbreel/internal/app/rrgateway"
	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Platform holds what the daemon needs from the platform that it runs on.
type Platform struct {
	Store       rrobject.Store
	HeaderNames rrforward.HeaderNames
	// DecodeLimit decodes the request limit in a searcher's response.
	DecodeLimit rrforward.LimitDecoder
	// DecodeNotice decodes what a searcher's response says of further requests.
	DecodeNotice rrforward.NoticeDecoder
	// ReadinessPath is the path of the load balancer's readiness probe.
	ReadinessPath string
	// Reload reads the settings again.
	Reload func() (*rrsettings.GatewaySettings, error)
	// ReloadSignals receives the signals to reload the settings; nil means none. The
	// process must handle them from start to exit, since their default action
	// terminates it.
	ReloadSignals <-chan os.Signal
}

// Durations of a planned stop.
const (
	// deregistrationDelay is how long the load balancer takes to stop sending new
	// connections: two readiness probes, one per second, and their network latency.
	deregistrationDelay = 2300 * time.Millisecond
	// stopMargin before the end of the grace period, the daemon stops to wait for
	// searchers. All requests are answered then, and writeTime later all connections are
	// closed.
	stopMargin = 500 * time.Millisecond
	writeTime  = 150 * time.Millisecond
)

// Limits of the callers' listener until there is a routing table.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
)

// Node is one daemon on a platform.
type Node struct {
	// settings are those in force. A reload replaces them.
	settings atomic.Pointer[rrsettings.GatewaySettings]
	platform Platform
	log      *rrlog.Log
	leaving  atomic.Bool
	metrics  *rrmetrics.GatewayMetrics

	forwarder   *rrconn.Client
	dispatchers *rrdispatchers.Dispatchers
	gateway     *rrgateway.Gateway
	follower    *rrfollow.Follower
}

// New returns a daemon with settings that have been checked.
func New(settings *rrsettings.GatewaySettings, platform Platform, logger *rrlog.Log) *Node {
	n := &Node{platform: platform, log: logger.With("instance", settings.Instance), metrics: rrmetrics.NewGatewayMetrics()}
	n.settings.Store(settings)
	return n
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// planned stop.
func (n *Node) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	codec, err := rrlink.NewCodec()
	if err != nil {
		return err
	}
	controlClients := rrlink.NewControlClients(codec, rrlink.WithMeter(peerTrafficMeter{n.metrics}))
	defer controlClients.Close()
	n.forwarder = rrconn.New(n.platform.HeaderNames, rrconn.WithLimitDecoder(n.platform.DecodeLimit), rrconn.WithNoticeDecoder(n.platform.DecodeNotice))
	defer n.forwarder.Close()
	n.build(workCtx, controlClients)
	peers := grpc.NewServer(append(rrlink.ServerOptions(codec), rrlink.MeterOption(peerTrafficMeter{n.metrics}))...)
	rrlink.RegisterFeed(peers, codec, n.follower)

	group, gctx := errgroup.WithContext(workCtx)
	listeners := n.listeners()
	if err := n.start(gctx, group, peers, listeners); err != nil {
		cancelWork()
		closeAll(listeners)
		return errors.Join(err, group.Wait())
	}
	cfg := n.settings.Load()
	n.log.StateChange("started", "callers", cfg.CallerAddress, "ready", cfg.ReadinessAddress, "platform", cfg.StoreAddress)
	select {
	case <-ctx.Done():
	case <-gctx.Done():
		// A listener has failed; requests in flight are still answered.
	}
	n.drain(workCtx, listeners[0].server)
	cancelWork()
	closeAll(listeners)
	err = group.Wait()
	n.dispatchers.Wait()
	n.log.StateChange("stopped")
	return err
}

// build creates the components that serve requests and follow the platform's state.
func (n *Node) build(workCtx context.Context, feeds rrpeers.FeedClient) {
	cfg := n.settings.Load()
	n.dispatchers = rrdispatchers.New(workCtx, cfg, n.forwarder, n.log, n.metrics,
		rrdispatchers.WithQuarantine(func(q rrpeer.Quarantine) { n.follower.AnnounceQuarantine(q) }),
		rrdispatchers.WithUnanswered(func() { n.follower.AnnounceCrashes() }))
	n.gateway = rrgateway.New(n.dispatchers, n.platform.HeaderNames, n.log, n.metrics)
	n.follower = rrfollow.New(rrfollow.Config{
		Self: rrcatalog.Instance{
			ID:          cfg.Instance,
			Zone:        cfg.Zone,
			Region:      cfg.Region,
			PeerAddress: cfg.PeerAddress,
		},
		Seeds:         cfg.Seeds,
		ColdStart:     cfg.ColdStart,
		ApplyBound:    cfg.Bounds.MaxFollowTime(),
		LimitWindow:   cfg.Bounds.ExtraWindow,
		Store:         n.platform.Store,
		Feeds:         feeds,
		Log:           n.log,
		Metrics:       n.metrics,
		Update:        n.update,
		Quarantine:    n.dispatchers.Quarantine,
		TakeCrashes:   n.dispatchers.TakeCrashes,
		AddPeerCrash:  n.dispatchers.AddPeerCrash,
		TakeEvidence:  n.dispatchers.TakeEvidence,
		MergeEvidence: n.dispatchers.MergeEvidence,
	})
}

// listener is a server and the address that it listens on.
type listener struct {
	server  *rrhttp.Server
	address netip.AddrPort
}

// closeAll closes the servers and all their connections.
func closeAll(listeners []listener) {
	for _, l := range listeners {
		_ = l.server.Close()
	}
}

// listeners returns the daemon's HTTP servers, the callers' one first.
func (n *Node) listeners() []listener {
	callers := &http.Server{
		Handler:           rrfront.New(n.gateway, n.platform.HeaderNames, n.leaving.Load),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadinessPath, n.serveReadiness)
	ready := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	cfg := n.settings.Load()
	all := []listener{{rrhttp.NewDrainable(callers), cfg.CallerAddress}, {rrhttp.NewDrainable(ready), cfg.ReadinessAddress}}
	if cfg.MetricsAddress.IsValid() {
		all = append(all, listener{rrhttp.NewDrainable(n.operatorServer()), cfg.MetricsAddress})
	}
	return all
}

// start starts the listeners and background tasks.
func (n *Node) start(ctx context.Context, group *errgroup.Group, peers *grpc.Server, listeners []listener) error {
	for _, l := range listeners {
		if err := n.listen(ctx, group, l); err != nil {
			return err
		}
	}
	if err := n.servePeers(ctx, group, peers); err != nil {
		return err
	}
	group.Go(func() error { n.follower.Run(ctx); return nil })
	group.Go(func() error { n.dispatchers.KeepPreconnected(ctx); return nil })
	group.Go(func() error { n.forwarder.KeepUsed(ctx); return nil })
	group.Go(func() error { n.watchSettings(ctx); return nil })
	return nil
}

func (n *Node) listen(ctx context.Context, group *errgroup.Group, l listener) error {
	bound, err := rrhttp.Bind(ctx, "tcp4", l.address.String())
	if err != nil {
		return err
	}
	l.server.ErrorLog = n.log.Logger().StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	drained := l.server.Listener(bound)
	group.Go(func() error { return eris.Wrapf(l.server.Serve(drained), "serving %s", l.address) })
	return nil
}

func (n *Node) servePeers(ctx context.Context, group *errgroup.Group, srv *grpc.Server) error {
	l, err := rrhttp.Bind(ctx, "tcp4", n.settings.Load().PeerAddress.String())
	if err != nil {
		return err
	}
	group.Go(func() error { return eris.Wrap(srv.Serve(l), "serving peers") })
	group.Go(func() error {
		<-ctx.Done()
		srv.Stop()
		return nil
	})
	return nil
}

func (n *Node) update(c *rrcatalog.Catalog) {
	n.dispatchers.Update(c)
	n.gateway.Update(c)
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) isReady() bool { return !n.leaving.Load() && n.gateway.Table() != nil }

// deregistrationDelay returns how long the daemon still accepts connections after
// its readiness probe has begun to fail.
func (n *Node) deregistrationDelay() time.Duration {
	return min(deregistrationDelay, n.settings.Load().Bounds.GracePeriod/2)
}

// drain takes the daemon out of service without aborting a request: it fails the
// readiness probe, serves callers until the load balancer sends no more
// connections, and then waits for the requests in flight.
func (n *Node) drain(ctx context.Context, callers *rrhttp.Server) {
	n.leaving.Store(true)
	grace := n.settings.Load().Bounds.GracePeriod
	n.log.StateChange("leaving", "grace", grace)
	stopped := n.gateway.StopAt(n.gateway.Now().Add(grace - stopMargin))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The time to write counts from the answers, which are late if the process was suspended.
	go func() {
		<-stopped
		rrunit.Sleep(ctx, writeTime)
		cancel()
	}()
	time.Sleep(n.deregistrationDelay())
	if err := callers.Drain(ctx); err != nil {
		n.log.Failure("drain of callers' connections not finished", "err", err)
	}
}
