package rrdaemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// freeAddress returns a loopback address that was free when it was checked.
func freeAddress(t *testing.T, ports *rrfleet.Ports) string {
	t.Helper()
	address, err := ports.FreeAddress(t.Context())
	must.NoError(t, err)
	return address
}

func testSettings(t *testing.T, ports *rrfleet.Ports, n int, platform string) rrsettings.Settings {
	t.Helper()
	s := rrsettings.Default()
	s.Instance = rrunit.InstanceID(fmt.Sprint("d", n))
	s.Zone, s.Region = "etela-1", "etela"
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = freeAddress(t, ports), freeAddress(t, ports), freeAddress(t, ports)
	s.PlatformURL = "http://" + platform
	s.Times.DrainDelay = rrunit.Duration(100 * time.Millisecond)
	must.NoError(t, s.Check())
	return s
}

// TestStopLeaksNoGoroutines runs two daemons in this process, sends queries to
// them, stops them, and checks that no goroutine is left.
func TestStopLeaksNoGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	ports := rrfleet.NewPorts()
	defer func() { must.NoError(t, ports.Close()) }()
	must.NoError(t, ports.AssignAddresses(ctx, def))
	platform := freeAddress(t, ports)
	fleet, err := rrfleet.Start(ctx, platform, def, rrsearcherfake.Behaviour{Versions: []rrunit.IndexVersion{1}})
	must.NoError(t, err)
	defer func() { must.NoError(t, fleet.Close()) }()

	all := []rrsettings.Settings{testSettings(t, ports, 0, platform), testSettings(t, ports, 1, platform)}
	list := make([]rrstore.Instance, 0, len(all))
	for _, s := range all {
		list = append(list, rrstore.Instance{ID: s.Instance, Peer: s.PeerAddress, Zone: s.Zone, Region: s.Region})
	}
	fleet.Platform.SetInstances(rrfleet.LiveInstances(list...))
	done := make(chan error, len(all))
	for _, s := range all {
		d, err := rrdaemon.New(s, log.New(io.Discard))
		must.NoError(t, err)
		go func() { done <- d.Run(ctx) }()
	}
	client := &http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for _, s := range all {
		queryUntilComplete(t, client, s)
	}
	cancel()
	for range all {
		must.NoError(t, <-done)
	}
}

// queryUntilComplete repeats a query until its answer is complete.
func queryUntilComplete(t *testing.T, client *http.Client, s rrsettings.Settings) {
	t.Helper()
	const body = `{"service":"luettelo","rank":"title","body":"84.2"}`
	for range 200 {
		resp, err := client.Post("http://"+s.CallerAddress+"/v1/query", "application/json", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no complete answer from %s", s.Instance)
}
