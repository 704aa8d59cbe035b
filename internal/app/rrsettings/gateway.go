package rrsettings

import (
	"net/netip"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// GatewaySettings are the settings of a daemon that serves callers' routes: its
// identity, its addresses, and the bounds that it must keep.
type GatewaySettings struct {
	Instance rrunit.InstanceID
	Zone     rrunit.Zone
	Region   rrunit.Region
	// Zones maps each availability zone of the deployment to its region.
	Zones map[rrunit.Zone]rrunit.Region
	// CallerAddress, ReadinessAddress and PeerAddress are the addresses to listen on
	// for callers, for the load balancer's readiness probes, and for other daemons.
	CallerAddress, ReadinessAddress, PeerAddress netip.AddrPort
	// MetricsAddress is the address to serve metrics on; none if invalid.
	MetricsAddress netip.AddrPort
	// Seeds are peer addresses of other daemons; they may be out of date.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// ColdStart reports whether all daemons start for the first time, so that no peer
	// has any state yet and no caller is waiting.
	ColdStart bool
	// Memory is the memory limit of the process.
	Memory rrunit.Bytes
	Bounds Bounds
}

// Bounds are the requirements that operators set for the system.
type Bounds struct {
	// MaxApplyTime bounds the time until a new version of the routes is applied.
	MaxApplyTime time.Duration
	// MaxDrainTime bounds the time until a draining searcher gets no more work.
	MaxDrainTime time.Duration
	// GracePeriod is how long a process may keep running after the signal to stop.
	GracePeriod time.Duration
	// ExtraShare, ExtraWindow and ExtraSlack bound the attempts beyond the first of
	// each request, over all daemons: within ExtraWindow, ExtraShare times the number
	// of callers' requests, plus ExtraSlack.
	ExtraShare  rrunit.Share
	ExtraWindow time.Duration
	ExtraSlack  int
	// HeartbeatInterval is how often searchers renew their entries.
	HeartbeatInterval time.Duration
}

// MaxFollowTime bounds the time until a change in the platform's store is applied.
func (b *Bounds) MaxFollowTime() time.Duration { return min(b.MaxApplyTime, b.MaxDrainTime) }

// Check returns an error that names the key of the first invalid setting.
func (s *GatewaySettings) Check() error {
	if err := rrunit.CheckName("instance", s.Instance); err != nil {
		return err
	}
	if err := rrunit.CheckName("zone", s.Zone); err != nil {
		return err
	}
	for _, a := range []struct {
		key     string
		address netip.AddrPort
	}{
		{"callers", s.CallerAddress}, {"ready", s.ReadinessAddress}, {"peers", s.PeerAddress}, {"platform", s.StoreAddress},
	} {
		if !a.address.IsValid() || a.address.Port() == 0 {
			return rrunit.Invalid(a.key, "is not an IP number and a port")
		}
	}
	return s.Bounds.check()
}

func (b *Bounds) check() error {
	for _, d := range []struct {
		key   string
		value time.Duration
	}{
		{"bounds.apply", b.MaxApplyTime},
		{"bounds.drain", b.MaxDrainTime},
		{"bounds.grace", b.GracePeriod},
		{"bounds.window", b.ExtraWindow},
		{"heartbeat", b.HeartbeatInterval},
	} {
		if d.value <= 0 || d.value > maxDuration.Std() {
			return rrunit.Invalid(d.key, "%s is not above 0s and at most %s", d.value, maxDuration)
		}
	}
	if b.ExtraShare < 0 || b.ExtraShare > 1 {
		return rrunit.Invalid("bounds.extra", "%g is not between 0 and 1", float64(b.ExtraShare))
	}
	if b.ExtraSlack < 0 {
		return rrunit.Invalid("bounds.slack", "%d is below 0", b.ExtraSlack)
	}
	return nil
}
