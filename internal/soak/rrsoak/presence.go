package rrsoak

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/platform"
)

// checkPresence compares the daemons that the store has with those that are there. The names of
// daemons that were replaced may be there still: a run is shorter than they may be silent.
func (f *fleet) checkPresence() error {
	address, err := netip.ParseAddrPort(f.storeAddress)
	if err != nil {
		return eris.Wrap(err, "address of the store")
	}
	store := platform.NewStore(address)
	defer store.Close()
	changes, err := store.Instances().List(f.ctx)
	if err != nil {
		return eris.Wrap(err, "listing the daemons")
	}
	var there []rrunit.InstanceID
	for _, n := range f.daemons {
		there = append(there, rrunit.InstanceID(n.instance()))
	}
	absent, others := comparePresence(there, changes.Delta.Entries)
	if len(absent) > 0 {
		f.history.AddViolation(rrhistory.PromisePresence, nil, "not registered, or doubted: %v", absent)
	}
	_, _ = fmt.Fprintf(f.cfg.Out, "registered=%d replaced=%v\n", len(changes.Delta.Entries), others)
	return nil
}

// comparePresence returns the daemons that are there and not registered, or doubted, and those
// that are registered and not there.
func comparePresence(there []rrunit.InstanceID, registered map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]) (absent, others []rrunit.InstanceID) {
	for _, id := range there {
		if e := registered[id]; e.Value == nil || e.Removed || e.Value.Doubted {
			absent = append(absent, id)
		}
	}
	for id := range registered {
		if !slices.Contains(there, id) {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	return absent, others
}
