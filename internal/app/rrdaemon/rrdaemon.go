// Package rrdaemon wires and runs a daemon that serves the query API. It makes no
// decisions of its own.
package rrdaemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrplatform"
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrsearch"
	"rhubarbreel.example/rhubarbreel/internal/app/rrclaims"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdump"
	"rhubarbreel.example/rhubarbreel/internal/app/rrentry"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmembers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrowner"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrlatest"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// DefinitionKey is the key of the stored object that holds the definition.
const DefinitionKey rrstore.Key = "definition"

// writeTimeout bounds the time until a response is written. It must exceed the
// longest deadline by the time that a caller may take to read its answer.
const writeTimeout = time.Minute

// maxOperatorConnections limits the concurrent connections of operators.
const maxOperatorConnections = 64

// Daemon is one daemon that serves the query API.
type Daemon struct {
	settings rrsettings.Settings
	log      *log.Logger
	platform *rrplatform.Client
	upstream *rrsearch.Client
	codec    *rrlink.Codec
	leaving  atomic.Bool

	entry  *rrentry.Entry
	owner  *rrowner.Owner
	claims *rrclaims.Claimer
	pool   *rrlink.Pool

	metrics *rrmetrics.QueryMetrics
	dump    *rrdump.Registry

	callers *rrhttp.Server
	peers   *rrlink.Server

	control        *rrmembers.ControlPlane
	controlClients *rrlink.ControlClients

	// newQuarantines holds the quarantines that the peers have not received yet.
	newQuarantines quarantineBuffer

	// view is the state of the membership, applied again once this daemon is leaving.
	view *rrlatest.Value[rrmembers.View]
}

// New returns a daemon with settings that have been checked.
func New(settings rrsettings.Settings, logger *log.Logger) (*Daemon, error) {
	codec, err := rrlink.NewCodec()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		log:      logger.With("instance", settings.Instance),
		platform: rrplatform.New(settings.PlatformURL),
		upstream: rrsearch.New(),
		codec:    codec,
		metrics:  rrmetrics.NewQueryMetrics(),
		dump:     rrdump.New(),
	}
	d.view = rrlatest.New(d.applyView)
	return d, nil
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	d.claims = rrclaims.New(workCtx, d.platform)
	d.metrics.Set("claims", d.claims.Counts())
	d.owner = rrowner.New(workCtx, d.upstream,
		rrowner.WithPollInterval(d.settings.Times.LoadPollInterval.Std()),
		rrowner.WithQuarantine(d.addLocalQuarantine),
		rrowner.WithClaimer(d.claims),
		rrowner.WithErrorHandler(d.logShardError),
	)
	local := d.owner.Worker(func(r rrpeer.ShardReport) { d.entry.Report(r) })
	d.pool = rrlink.NewPool(workCtx, d.codec, d.settings.Instance, local, func(r rrpeer.ShardReport) { d.entry.Report(r) })
	d.entry = rrentry.New(d.pool)
	d.controlClients = rrlink.NewControlClients(d.codec)
	d.control = d.newControl()

	group, gctx := errgroup.WithContext(workCtx)
	group.Go(func() error { d.control.Run(gctx); return nil })
	if err := d.serve(ctx, gctx, group); err != nil {
		cancelWork()
		return errors.Join(err, group.Wait())
	}
	d.log.Info("started", "callers", d.settings.CallerAddress, "operators", d.settings.OperatorAddress, "peers", d.settings.PeerAddress)
	select {
	case <-ctx.Done():
	case <-gctx.Done():
		// A listener has failed; requests in flight are still answered.
	}
	d.drain(workCtx)
	d.flushClaims(workCtx)
	cancelWork()
	err := group.Wait()
	d.owner.Wait()
	d.claims.Wait()
	d.pool.Close()
	d.controlClients.Close()
	d.upstream.Close()
	d.platform.Close()
	d.log.Info("stopped")
	return err
}

// serve starts the three listeners. They stop when workCtx ends.
func (d *Daemon) serve(ctx, workCtx context.Context, group *errgroup.Group) error {
	limits := &d.settings.Limits
	callers := rrhttp.NewCallerAPI(d.metrics.Instrument(d.entry), limits.Requests, d.leaving.Load, rrhttp.WithMemoryLimit(limits.RequestMemory))
	d.callers = rrhttp.NewServer(callers.Handler(), writeTimeout)
	err := d.serveHTTP(ctx, workCtx, group, d.callers, d.settings.CallerAddress, limits.Connections, rrhttp.WithAddressLimit(limits.ConnectionsPerAddress))
	if err != nil {
		return err
	}
	operators := rrhttp.NewServer(d.operatorHandler(), writeTimeout)
	err = d.serveHTTP(ctx, workCtx, group, operators, d.settings.OperatorAddress, maxOperatorConnections)
	if err != nil {
		return err
	}
	return d.servePeers(ctx, workCtx, group)
}

func (d *Daemon) serveHTTP(ctx, workCtx context.Context, group *errgroup.Group, srv *rrhttp.Server, address string, connections int, opts ...rrhttp.ListenOption) error {
	l, err := rrhttp.Listen(ctx, address, connections, append(opts, rrhttp.WithServer(srv))...)
	if err != nil {
		return err
	}
	srv.ErrorLog = d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	group.Go(func() error { return eris.Wrapf(srv.Serve(l), "serving %s", address) })
	group.Go(func() error {
		<-workCtx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(workCtx), d.settings.Times.StopTimeout.Std())
		defer cancel()
		return eris.Wrapf(srv.Shutdown(stop), "stopping %s", address)
	})
	return nil
}

func (d *Daemon) servePeers(ctx, workCtx context.Context, group *errgroup.Group) error {
	l, err := rrhttp.Listen(ctx, d.settings.PeerAddress, d.settings.Limits.Connections)
	if err != nil {
		return err
	}
	srv := grpc.NewServer(rrlink.ServerOptions(d.codec)...)
	d.peers = rrlink.NewServer(d.owner.Worker)
	d.peers.Register(srv)
	rrlink.RegisterControl(srv, d.control)
	group.Go(func() error { return eris.Wrap(srv.Serve(l), "serving peers") })
	group.Go(func() error {
		<-workCtx.Done()
		srv.Stop()
		return nil
	})
	return nil
}
