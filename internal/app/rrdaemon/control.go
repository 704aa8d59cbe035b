package rrdaemon

import (
	"net/http"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmembers"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// newControl returns the control plane of the daemon.
func (d *Daemon) newControl() *rrmembers.ControlPlane {
	s := &d.settings
	return rrmembers.New(rrmembers.Config{
		Self:           rrmember.Peer{ID: s.Instance, Zone: s.Zone, Region: s.Region, Address: s.PeerAddress},
		DefinitionKey:  DefinitionKey,
		Platform:       d.platform,
		ControlClients: d.controlClients,
		Seeds:          s.Seeds,
		ListInterval:   s.Times.ListInterval.Std(),
		Log:            d.log,
	}, rrmembers.WithDefinitionHandler(d.setDefinition), rrmembers.WithViewHandler(d.setView),
		rrmembers.WithQuarantines(d.newQuarantines.takeAll, d.addPeerQuarantine))
}

// setDefinition applies a definition. Definition numbers only increase.
func (d *Daemon) setDefinition(def *rrdefinition.Definition) {
	d.claims.SetDefinition(def)
	d.owner.SetDefinition(def)
	d.entry.SetDefinition(def)
}

// setView applies a new state of the membership.
func (d *Daemon) setView(v rrmembers.View) { d.view.Set(&v) }

func (d *Daemon) applyView(v *rrmembers.View) {
	addresses := make(map[rrunit.InstanceID]string, len(v.List.Instances))
	for _, in := range v.List.Instances {
		addresses[in.ID] = in.Peer
	}
	if err := d.pool.SetPeers(addresses); err != nil {
		d.log.Error("peer addresses not applied", "err", err)
	}
	d.entry.SetMembers(rrownership.NewTable(d.ownerCandidates(v)))
	d.owner.SetLeaving(leavingUpstreams(v.List))
}

// ownerCandidates returns the instances that can own shards: all that accept
// work, except this one while it is leaving. If there are none, it returns all
// listed instances.
func (d *Daemon) ownerCandidates(v *rrmembers.View) []rrownership.Member {
	members := make([]rrownership.Member, 0, len(v.Workers))
	for i := range v.Workers {
		p := &v.Workers[i]
		if p.ID != d.settings.Instance || !d.leaving.Load() {
			members = append(members, rrownership.Member{ID: p.ID, Zone: p.Zone, Region: p.Region})
		}
	}
	if len(members) > 0 {
		return members
	}
	for _, in := range v.List.Instances {
		members = append(members, rrownership.Member{ID: in.ID, Zone: in.Zone, Region: in.Region})
	}
	return members
}

func leavingUpstreams(list *rrstore.List) map[rrunit.SearcherID]bool {
	out := make(map[rrunit.SearcherID]bool)
	for _, u := range list.Upstreams {
		if u.State == rrstore.InstanceLeaving {
			out[u.ID] = true
		}
	}
	return out
}

// serveStatus reports to operators the definition number that has converged and
// the instances that lag.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	rrhttp.WriteJSON(w, http.StatusOK, d.control.Status())
}
