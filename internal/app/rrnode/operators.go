package rrnode

import (
	"expvar"
	"net/http"
	"runtime"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdump"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// MetricsPath is the HTTP path of the metrics.
const MetricsPath = "/metrics"

// operatorServer returns the HTTP server of the metrics and the state dump.
func (n *Node) operatorServer() *http.Server {
	dump := rrdump.New()
	dump.Add("instance", func() any { return n.identity() })
	dump.Add("catalog", func() any { return n.follower.State() })
	dump.Add("services", func() any { return n.dispatchers.State() })
	dump.Add("suspects", func() any { return n.dispatchers.Suspects() })
	dump.Add("quarantines", func() any { return n.dispatchers.Quarantined() })
	n.metrics.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, n.metrics)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		rrhttp.WriteJSON(w, http.StatusOK, dump.Collect())
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// identity identifies the daemon in its state dump.
type identity struct {
	ID      rrunit.InstanceID `json:"id"`
	Zone    rrunit.Zone       `json:"zone"`
	Region  rrunit.Region     `json:"region"`
	Leaving bool              `json:"leaving"`
	Ready   bool              `json:"ready"`
}

func (n *Node) identity() identity {
	return identity{
		ID:      n.settings.Load().Instance,
		Zone:    n.settings.Load().Zone,
		Region:  n.settings.Load().Region,
		Leaving: n.leaving.Load(),
		Ready:   n.isReady(),
	}
}
