// Package rrnode wires a daemon that serves callers' routes on a platform, and
// runs it until it is told to stop. It takes no decisions of its own.
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
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Platform is what the daemon needs of a platform.
type Platform struct {
	Store  rrobject.Store
	Fields rrforward.HeaderNames
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	// Reload reads the settings anew.
	Reload func() (*rrsettings.Site, error)
	// Hangups has the signals that say that the settings have changed; nil is
	// none. The process takes them from its first moment to its last, since they
	// would end it otherwise.
	Hangups <-chan os.Signal
}

// Times of a planned stop.
const (
	// turnAway is how long the balancer takes to send no more new connections:
	// two questions, one a second, and their way.
	turnAway = 2300 * time.Millisecond
	// stopMargin is kept free at the end of the grace period.
	stopMargin = 500 * time.Millisecond
)

// Limits of the callers' listener until a routing table is known.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	maxHeader     = 64 << 10
)

// Node is one daemon on a platform. New builds it, Run runs it.
type Node struct {
	site     *rrsettings.Site
	platform Platform
	log      *rrlog.Log
	leaving  atomic.Bool
	metrics  *rrmetrics.Traffic

	forwarder *rrconn.Client
	places    *rrdispatchers.Dispatchers
	gateway   *rrgateway.Gateway
	follower  *rrfollow.Follower
}

// New returns a daemon of checked settings.
func New(site *rrsettings.Site, platform Platform, logger *rrlog.Log) *Node {
	return &Node{site: site, platform: platform, log: logger.With("instance", site.Instance), metrics: rrmetrics.NewTraffic()}
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// planned stop.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	codec, err := rrlink.NewCodec()
	if err != nil {
		return err
	}
	controls := rrlink.NewControls(codec, rrlink.WithMeter(linkMeter{n.metrics}))
	defer controls.Close()
	n.forwarder = rrconn.New(n.platform.Fields)
	defer n.forwarder.Close()
	n.build(work, controls)
	peers := grpc.NewServer(append(rrlink.ServerOptions(codec), rrlink.MeterOption(linkMeter{n.metrics}))...)
	rrlink.RegisterFeed(peers, codec, n.follower)

	group, gctx := errgroup.WithContext(work)
	listeners := n.listeners()
	if err := n.start(gctx, group, peers, listeners); err != nil {
		stopWork()
		closeAll(listeners)
		return errors.Join(err, group.Wait())
	}
	n.log.Belief("started", "callers", n.site.Callers, "ready", n.site.Ready, "platform", n.site.Platform)
	select {
	case <-ctx.Done():
	case <-gctx.Done():
		// A listener has failed; what is under way is still answered.
	}
	n.leave(work, listeners[0].server)
	stopWork()
	closeAll(listeners)
	err = group.Wait()
	n.places.Wait()
	n.log.Belief("stopped")
	return err
}

// build makes the parts that serve requests and follow the platform.
func (n *Node) build(work context.Context, feeds rrpeers.FeedClient) {
	n.places = rrdispatchers.New(work, n.site, n.forwarder, n.log, n.metrics,
		rrdispatchers.WithQuarantine(func(q rrpeer.Quarantine) { n.follower.AnnounceQuarantine(q) }))
	n.gateway = rrgateway.New(n.places, n.platform.Fields, n.log, n.metrics)
	n.follower = rrfollow.New(rrfollow.Config{
		Self: rrcatalog.Instance{
			ID:          n.site.Instance,
			Zone:        n.site.Zone,
			Region:      n.site.Region,
			PeerAddress: n.site.Peers,
		},
		Seeds:         n.site.Seeds,
		ColdStart:     n.site.First,
		Store:         n.platform.Store,
		Feeds:         feeds,
		Log:           n.log,
		Metrics:       n.metrics,
		Update:        n.update,
		Quarantine:    n.places.Quarantine,
		TakeEvidence:  n.places.TakeEvidence,
		MergeEvidence: n.places.MergeEvidence,
	})
}

// listener is a server and where it listens.
type listener struct {
	server  *rrhttp.Server
	address netip.AddrPort
}

// closeAll cuts what is still open: nobody is served any more.
func closeAll(listeners []listener) {
	for _, l := range listeners {
		_ = l.server.Close()
	}
}

// listeners returns the servers, the callers' one first.
func (n *Node) listeners() []listener {
	callers := &http.Server{
		Handler:           rrfront.New(n.gateway, n.platform.Fields, n.leaving.Load),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, n.ready)
	ready := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	all := []listener{{rrhttp.NewDrainable(callers), n.site.Callers}, {rrhttp.NewDrainable(ready), n.site.Ready}}
	if n.site.Metrics.IsValid() {
		all = append(all, listener{rrhttp.NewDrainable(n.operators()), n.site.Metrics})
	}
	return all
}

// start starts all that runs beside the callers' requests.
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
	group.Go(func() error { n.places.KeepPreconnected(ctx); return nil })
	group.Go(func() error { n.watchSettings(ctx); return nil })
	return nil
}

func (n *Node) listen(ctx context.Context, group *errgroup.Group, l listener) error {
	bound, err := rrhttp.Bind(ctx, "tcp4", l.address.String())
	if err != nil {
		return err
	}
	l.server.ErrorLog = n.log.Logger().StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	group.Go(func() error { return eris.Wrapf(l.server.Serve(l.server.Listener(bound)), "serving %s", l.address) })
	return nil
}

func (n *Node) servePeers(ctx context.Context, group *errgroup.Group, srv *grpc.Server) error {
	l, err := rrhttp.Bind(ctx, "tcp4", n.site.Peers.String())
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
	n.places.Update(c)
	n.gateway.Update(c)
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) isReady() bool { return !n.leaving.Load() && n.gateway.Table() != nil }

// turnAway returns how long callers are served before the daemon takes no more
// connections.
func (n *Node) turnAway() time.Duration { return min(turnAway, n.site.Bounds.Grace/2) }

// leave takes the daemon out of service without cutting a request: the balancer
// is told, callers are served until it has turned away, and what is under way
// is answered.
func (n *Node) leave(ctx context.Context, callers *rrhttp.Server) {
	start := time.Now()
	n.leaving.Store(true)
	n.log.Belief("leaving", "grace", n.site.Bounds.Grace)
	time.Sleep(n.turnAway())
	left := n.site.Bounds.Grace - stopMargin - time.Since(start)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := callers.Drain(ctx); err != nil {
		n.log.Failure("callers cut", "err", err)
	}
}
