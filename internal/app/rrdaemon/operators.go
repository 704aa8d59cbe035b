package rrdaemon

import (
	"net/http"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/app/rroperate"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// operatorHandler returns the HTTP handler of the operators' port.
func (d *Daemon) operatorHandler() http.Handler {
	d.dump.Add("instance", func() any { return d.identity() })
	d.dump.Add("definition", func() any { return d.definitionNumber() })
	d.dump.Add("members", func() any { return d.view.Load() })
	d.dump.Add("admission", func() any { return d.entry.Admission() })
	d.dump.Add("quarantines", func() any { return d.entry.Quarantines() })
	d.dump.Add("shards", func() any { return d.owner.Dump() })
	d.dump.Add("claims", func() any { return d.claims.Dump() })
	d.dump.Add("connections", func() any { return d.upstream.Connections() })
	editor := rroperate.New(d.platform, DefinitionKey, rroperate.WithAppliedNumber(d.definitionNumber), rroperate.WithLog(d.log))
	mux := http.NewServeMux()
	rrhttp.NewOperatorAPI(d.settings.Instance, d.entry.Definition, editor, d.dump.Collect).Register(mux)
	mux.HandleFunc("GET /v1/status", d.serveStatus)
	mux.Handle("GET /debug/vars", d.metrics)
	return mux
}

// definitionNumber returns the number of the current definition, zero before the first.
func (d *Daemon) definitionNumber() rrunit.DefinitionNumber {
	def := d.entry.Definition()
	if def == nil {
		return 0
	}
	return def.Number
}

// identity identifies the daemon in its state dump.
type identity struct {
	ID      rrunit.InstanceID `json:"id"`
	Zone    rrunit.Zone       `json:"zone"`
	Region  rrunit.Region     `json:"region"`
	Leaving bool              `json:"leaving"`
}

func (d *Daemon) identity() identity {
	return identity{
		ID:      d.settings.Instance,
		Zone:    d.settings.Zone,
		Region:  d.settings.Region,
		Leaving: d.leaving.Load(),
	}
}
