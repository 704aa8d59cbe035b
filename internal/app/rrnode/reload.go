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
		case <-n.platform.Hangups:
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
	if reflect.DeepEqual(settings, n.settings) {
		return
	}
	if settings.Callers != n.settings.Callers || settings.Ready != n.settings.Ready || settings.Peers != n.settings.Peers {
		n.log.Belief("changed addresses need a restart", "callers", settings.Callers, "ready", settings.Ready, "peers", settings.Peers)
	}
	n.settings = settings
	n.dispatchers.SetSite(settings)
	n.follower.SetSeeds(settings.Seeds)
	n.log.Belief("settings taken", "cause", cause, "seeds", len(settings.Seeds))
}
