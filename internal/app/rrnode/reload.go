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
	site, err := n.platform.Reload()
	if err != nil {
		n.log.Failure("settings not taken", "cause", cause, "err", err)
		return
	}
	if reflect.DeepEqual(site, n.site) {
		return
	}
	if site.Callers != n.site.Callers || site.Ready != n.site.Ready || site.Peers != n.site.Peers {
		n.log.Belief("changed addresses need a restart", "callers", site.Callers, "ready", site.Ready, "peers", site.Peers)
	}
	n.site = site
	n.dispatchers.SetSite(site)
	n.follower.SetSeeds(site.Seeds)
	n.log.Belief("settings taken", "cause", cause, "seeds", len(site.Seeds))
}
