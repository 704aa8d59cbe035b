package rrnode

import (
	"context"
	"reflect"
	"time"
)

// settingsPollInterval is how often the settings are read without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings applies changed settings until ctx ends: immediately after a
// signal, and otherwise every settingsPollInterval.
func (n *Node) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.platform.ReloadSignals:
			n.reload("signal")
		case <-ticker.C:
			n.reload("file")
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings that can change while the daemon runs. If they
// cannot be read, the old ones stay in use.
func (n *Node) reload(cause string) {
	settings, err := n.platform.Reload()
	if err != nil {
		n.log.Failure("settings not taken", "cause", cause, "err", err)
		return
	}
	old := n.settings.Load()
	if reflect.DeepEqual(settings, old) {
		return
	}
	if settings.CallerAddress != old.CallerAddress || settings.ReadinessAddress != old.ReadinessAddress || settings.PeerAddress != old.PeerAddress {
		n.log.StateChange("changed addresses need a restart", "callers", settings.CallerAddress, "ready", settings.ReadinessAddress, "peers", settings.PeerAddress)
	}
	n.settings.Store(settings)
	n.dispatchers.SetSettings(settings)
	n.follower.SetSettings(settings.Seeds, settings.Bounds.MaxFollowTime())
	n.log.StateChange("settings taken", "cause", cause, "seeds", len(settings.Seeds))
}
