// Package rrfleet starts the stand-ins for a whole definition: the platform and
// every searcher. It is used by tests, the demo and the rhubarbreelfake command.
package rrfleet

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Fleet is the set of running stand-ins for one definition.
type Fleet struct {
	Platform  *rrplatformfake.Platform
	Searchers map[rrunit.SearcherID]*rrsearcherfake.Searcher

	server *http.Server
}

// Start starts the platform at the address and every searcher of the definition,
// and stores the definition in the platform.
func Start(ctx context.Context, address string, def *rrdefinition.Definition, behave rrsearcherfake.Behaviour) (*Fleet, error) {
	f := &Fleet{
		Platform:  rrplatformfake.New(),
		Searchers: make(map[rrunit.SearcherID]*rrsearcherfake.Searcher),
	}
	if err := f.servePlatform(ctx, address); err != nil {
		return nil, err
	}
	if err := f.startSearchers(ctx, def, behave); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	value, err := json.Marshal(def)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the definition")
	}
	return f, f.Platform.Create(rrdaemon.DefinitionKey, value)
}

func (f *Fleet) servePlatform(ctx context.Context, address string) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening for the platform")
	}
	f.server = &http.Server{Handler: f.Platform, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(l) }()
	return nil
}

func (f *Fleet) startSearchers(ctx context.Context, def *rrdefinition.Definition, behave rrsearcherfake.Behaviour) error {
	for i := range def.Services {
		service := &def.Services[i]
		for j := range service.Layouts {
			if err := f.startLayout(ctx, service.Name, &service.Layouts[j], behave); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startLayout(ctx context.Context, service rrunit.ServiceName, l *rrdefinition.Layout, behave rrsearcherfake.Behaviour) error {
	for i := range l.Shards {
		shard := &l.Shards[i]
		for _, self := range shard.Searchers {
			s := rrsearcherfake.New(service, l, shard.Name, self, behave)
			if err := s.Start(ctx); err != nil {
				return err
			}
			f.Searchers[self.ID] = s
		}
	}
	return nil
}

// Close stops the searchers and the platform.
func (f *Fleet) Close() error {
	var errs []error
	for _, s := range f.Searchers {
		errs = append(errs, s.Close())
	}
	errs = append(errs, f.server.Close())
	return errors.Join(errs...)
}

// LiveInstances returns a list of the given instances in state live.
func LiveInstances(instances ...rrstore.Instance) rrstore.List {
	for i := range instances {
		instances[i].State = rrstore.InstanceLive
	}
	return rrstore.List{Instances: instances}
}
