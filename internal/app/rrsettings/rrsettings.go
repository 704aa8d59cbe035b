// Package rrsettings reads and checks the settings of one daemon, without regard
// to what they are used for.
package rrsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Settings are the settings of a daemon that serves the query API, read from its
// file and flags.
type Settings struct {
	// Instance is the name of this daemon, unique in the deployment.
	Instance rrunit.InstanceID `json:"instance"`
	Zone     rrunit.Zone       `json:"zone"`
	Region   rrunit.Region     `json:"region"`
	// CallerAddress, OperatorAddress and PeerAddress are the three addresses to
	// listen on, each an IP address and a port.
	CallerAddress   string `json:"callers"`
	OperatorAddress string `json:"operators"`
	PeerAddress     string `json:"peers"`
	// PlatformURL is the URL of the platform's API.
	PlatformURL string `json:"platform"`
	// Seeds are peer addresses of other daemons, from which this one fetches the
	// instance list and the definition if the platform is down when it starts.
	Seeds  []string `json:"seeds,omitempty"`
	Limits Limits   `json:"limits"`
	Times  Times    `json:"times"`
}

// Limits bound the resources of one daemon that callers can occupy.
type Limits struct {
	// Connections limits the concurrent connections of callers.
	Connections int `json:"connections"`
	// ConnectionsPerAddress limits the concurrent connections of callers from one IP address.
	// Behind a load balancer all callers share the balancer's addresses.
	ConnectionsPerAddress int `json:"address"`
	// Requests limits the queries of callers in flight.
	Requests int `json:"requests"`
	// RequestMemory limits the total memory of the requests of queries in flight.
	RequestMemory rrunit.Bytes `json:"memory"`
}

// Times are the intervals and timeouts of a daemon.
type Times struct {
	// LoadPollInterval is how often a searcher's load is polled.
	LoadPollInterval rrunit.Duration `json:"poll"`
	// ListInterval is how often the platform's instance list is read.
	ListInterval rrunit.Duration `json:"list"`
	// DrainDelay is how long a stopping daemon still accepts work after it has announced
	// that it is leaving, so that the load balancer and peers stop sending first.
	DrainDelay rrunit.Duration `json:"leave"`
	// StopTimeout is how long a stopping daemon waits at most for work in flight.
	StopTimeout rrunit.Duration `json:"stop"`
}

// Default returns the defaults of the optional settings.
func Default() Settings {
	return Settings{
		Limits: Limits{Connections: 4096, ConnectionsPerAddress: 2048, Requests: 4096, RequestMemory: 64 << 20},
		Times: Times{
			LoadPollInterval: rrunit.Duration(500 * time.Millisecond),
			ListInterval:     rrunit.Duration(time.Second),
			DrainDelay:       rrunit.Duration(5 * time.Second),
			StopTimeout:      rrunit.Duration(30 * time.Second),
		},
	}
}

// Load returns the defaults overridden by the settings in a file. It does not
// check them, so that flags can be applied first.
func Load(path string) (Settings, error) {
	s := Default()
	b, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "reading the settings")
	}
	if err := rrunit.DecodeStrict(b, &s); err != nil {
		return s, eris.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// Check returns an error that names the key of the first invalid setting.
func (s *Settings) Check() error {
	if err := rrunit.CheckName("instance", s.Instance); err != nil {
		return err
	}
	if err := rrunit.CheckName("zone", s.Zone); err != nil {
		return err
	}
	if err := rrunit.CheckName("region", s.Region); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkSeeds(); err != nil {
		return err
	}
	if err := s.checkPlatform(); err != nil {
		return err
	}
	if err := s.Limits.check(); err != nil {
		return err
	}
	return s.Times.check()
}

// listenAddress is an address that the daemon listens on and its settings key.
type listenAddress struct {
	key     string
	address string
}

func (s *Settings) listenAddresses() []listenAddress {
	return []listenAddress{{"callers", s.CallerAddress}, {"operators", s.OperatorAddress}, {"peers", s.PeerAddress}}
}

func (s *Settings) checkAddresses() error {
	seen := make(map[string]netip.AddrPort)
	for _, own := range s.listenAddresses() {
		p, err := netip.ParseAddrPort(own.address)
		if err != nil {
			return rrunit.Invalid(own.key, "%q is not an IP number and a port", own.address)
		}
		if p.Port() == 0 {
			return rrunit.Invalid(own.key, "%q has port 0", own.address)
		}
		for _, other := range s.listenAddresses() {
			if q, ok := seen[other.key]; ok && conflict(p, q) {
				return rrunit.Invalid(own.key, "%q clashes with the address of %s, %q", own.address, other.key, other.address)
			}
		}
		seen[own.key] = p
	}
	return nil
}

// conflict reports whether two listeners cannot use the addresses at the same time.
func conflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return x == y || x.IsUnspecified() || y.IsUnspecified()
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.PlatformURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return rrunit.Invalid("platform", "%q is not an http URL", s.PlatformURL)
	}
	for _, own := range s.listenAddresses() {
		if u.Host == own.address {
			return rrunit.Invalid("platform", "%q is the address of %s", s.PlatformURL, own.key)
		}
	}
	return nil
}

// Values of limits and times out of these bounds are taken to be mistakes.
const (
	maxConnections = 1 << 20
	minMemoryBytes = 1 << 20
	maxDuration    = rrunit.Duration(time.Hour)
)

func (l *Limits) check() error {
	for _, n := range []struct {
		key   string
		value int
	}{
		{"limits.connections", l.Connections}, {"limits.address", l.ConnectionsPerAddress}, {"limits.requests", l.Requests},
	} {
		if n.value <= 0 || n.value > maxConnections {
			return rrunit.Invalid(n.key, "%d is not between 1 and %d", n.value, maxConnections)
		}
	}
	if l.RequestMemory < minMemoryBytes {
		return rrunit.Invalid("limits.memory", "%d is less than %d bytes", l.RequestMemory, minMemoryBytes)
	}
	return nil
}

func (s *Settings) checkSeeds() error {
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return rrunit.Invalid(fmt.Sprintf("seeds[%d]", i), "%q is not an IP number and a port", seed)
		}
	}
	return nil
}

func (t *Times) check() error {
	for _, d := range []struct {
		key   string
		value rrunit.Duration
	}{
		{"times.poll", t.LoadPollInterval}, {"times.list", t.ListInterval}, {"times.leave", t.DrainDelay}, {"times.stop", t.StopTimeout},
	} {
		if d.value <= 0 || d.value > maxDuration {
			return rrunit.Invalid(d.key, "%s is not above 0s and at most %s", d.value, maxDuration)
		}
	}
	return nil
}
