package rrdemo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrclient"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

const (
	daemonCount = 3
	// medianLatency is the median time that a fake searcher takes for a subquery.
	medianLatency = 3 * time.Millisecond
	pollInterval  = 50 * time.Millisecond
)

// cluster holds the fakes and daemons of the demo.
type cluster struct {
	def         *rrdefinition.Definition
	ports       *rrfleet.Ports
	fleet       *rrfleet.Fleet
	settings    []rrsettings.Settings
	stopDaemons context.CancelFunc
	daemons     *errgroup.Group
}

func startCluster(ctx context.Context, def *rrdefinition.Definition, logger *log.Logger) (*cluster, error) {
	c := &cluster{def: def, ports: rrfleet.NewPorts()}
	if err := c.start(ctx, logger); err != nil {
		return nil, errors.Join(err, c.ports.Close())
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, logger *log.Logger) error {
	if err := c.ports.AssignAddresses(ctx, c.def); err != nil {
		return err
	}
	platform, err := c.ports.FreeAddress(ctx)
	if err != nil {
		return err
	}
	if err := c.makeSettings(ctx, platform); err != nil {
		return err
	}
	behaviour := rrsearcherfake.Behaviour{Versions: []rrunit.IndexVersion{1}, Latency: medianLatency}
	if c.fleet, err = rrfleet.Start(ctx, platform, c.def, behaviour); err != nil {
		return err
	}
	c.publishInstances()
	return c.startDaemons(ctx, logger)
}

// makeSettings creates the daemons' settings, each with the region and zone of a
// different shard of the first service.
func (c *cluster) makeSettings(ctx context.Context, platform string) error {
	shards := c.def.Services[0].Layouts[0].Shards
	for i := range daemonCount {
		s := rrsettings.Default()
		s.Instance = rrunit.InstanceID(fmt.Sprintf("a%d", i+1))
		s.Region = shards[i].Region
		s.Zone = shards[i].Searchers[0].Zone
		s.PlatformURL = "http://" + platform
		s.Times.DrainDelay = rrunit.Duration(500 * time.Millisecond)
		s.Times.StopTimeout = rrunit.Duration(3 * time.Second)
		for _, address := range []*string{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress} {
			var err error
			if *address, err = c.ports.FreeAddress(ctx); err != nil {
				return err
			}
		}
		if err := s.Check(); err != nil {
			return err
		}
		c.settings = append(c.settings, s)
	}
	return nil
}

// publishInstances adds the daemons to the platform's instance list.
func (c *cluster) publishInstances() {
	var list []rrstore.Instance
	for _, s := range c.settings {
		list = append(list, rrstore.Instance{ID: s.Instance, Peer: s.PeerAddress, Zone: s.Zone, Region: s.Region})
	}
	c.fleet.Platform.SetInstances(rrfleet.LiveInstances(list...))
}

func (c *cluster) startDaemons(ctx context.Context, logger *log.Logger) error {
	ctx, c.stopDaemons = context.WithCancel(context.WithoutCancel(ctx))
	c.daemons, ctx = errgroup.WithContext(ctx)
	for _, s := range c.settings {
		d, err := rrdaemon.New(s, logger)
		if err != nil {
			return errors.Join(err, c.stop())
		}
		c.daemons.Go(func() error { return d.Run(ctx) })
	}
	return nil
}

// stop stops the daemons gracefully, then the fakes.
func (c *cluster) stop() error {
	c.stopDaemons()
	return errors.Join(c.daemons.Wait(), c.fleet.Close(), c.ports.Close())
}

// operatorClient returns a client of the operators' port of the n-th daemon.
func (c *cluster) operatorClient(n int) *rrclient.Client {
	return rrclient.New([]string{c.settings[n].OperatorAddress}, rrclient.WithTimeout(convergenceTimeout))
}

func (c *cluster) waitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, s := range c.settings {
		for !isHealthy(ctx, s.CallerAddress) {
			if ctx.Err() != nil {
				return eris.Errorf("daemon %s is not healthy within %s", s.Instance, startTimeout)
			}
			rrunit.Sleep(ctx, pollInterval)
		}
	}
	return nil
}

func isHealthy(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
