package rrpeer

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxFeedWait is the longest wait that a FeedRequest may request.
const maxFeedWait = rrunit.Duration(30 * time.Second)

// FeedRequest requests the platform changes that a daemon has after some revisions.
type FeedRequest struct {
	// Tables, Searchers and Instances are the requester's revisions; zero means
	// none.
	Tables    rrcatalog.Revision `json:"tables"`
	Searchers rrcatalog.Revision `json:"searchers"`
	Instances rrcatalog.Revision `json:"instances"`
	// Table is the number of the table that the requester uses; zero means none, or a
	// requester that does not say.
	Table rrunit.DefinitionNumber `json:"table,omitempty"`
	// Quarantines are the active quarantines that the requester knows, and Crashes the recent
	// crashes. Those beyond what earlier versions take are in MoreQuarantines and
	// MoreCrashes; SetFindings sets all of them.
	Quarantines     []Quarantine `json:"quarantines,omitempty"`
	MoreQuarantines []Quarantine `json:"morequarantines,omitempty"`
	Crashes         []Crash      `json:"crashes,omitempty"`
	MoreCrashes     []Crash      `json:"morecrashes,omitempty"`
	// KeepsMore is set if the requester keeps more findings than earlier versions.
	KeepsMore bool `json:"keepsmore,omitempty"`
	// From is the requester; empty for one that does not say.
	From rrunit.InstanceID `json:"from,omitempty"`
	// Wait is how long to wait for changes.
	Wait rrunit.Duration `json:"wait"`
	// Delay is how long to delay changes that the requester may receive from others.
	Delay rrunit.Duration `json:"delay,omitempty"`
}

// Check returns an error that names the first invalid field.
func (a *FeedRequest) Check() error {
	if a.Wait < 0 || a.Wait > maxFeedWait {
		return rrunit.Invalid("wait", "%s is not between 0s and %s", a.Wait, maxFeedWait)
	}
	findings := a.Findings()
	if err := findings.check(); err != nil {
		return err
	}
	if a.Delay < 0 || a.Delay > a.Wait {
		return rrunit.Invalid("delay", "%s is not between 0s and the wait %s", a.Delay, a.Wait)
	}
	return nil
}

// FeedResponse holds the platform changes after the revisions of a FeedRequest.
type FeedResponse struct {
	// From is the sender; empty for one that does not say.
	From rrunit.InstanceID `json:"from,omitempty"`
	// Confirmed is true if the platform's store ever confirmed the sender's state;
	// Age is the time since it last did.
	Confirmed bool `json:"known"`
	Age       Age  `json:"age"`
	// Era is the store's latest era that the sender knows of; zero if it knows none, or is a
	// daemon that leaves eras out of its revisions.
	Era rrcatalog.Era `json:"era,omitempty"`
	// Changes is nil if there are none. The transport encodes and compresses them
	// itself.
	Changes *FeedChanges `json:"-"`
	// Quarantines are the active quarantines that the requester does not have.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Crashes are the recent crashes that the requester does not know.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Check builds the tables and returns an error that names the first invalid field.
func (n *FeedResponse) Check() error {
	findings := n.Findings()
	if err := findings.check(); err != nil {
		return err
	}
	if n.Changes == nil {
		return nil
	}
	return n.Changes.Check()
}

// FeedChanges are the changes after the requested revisions. Each field is nil if
// there are none. They must not be modified once they are shared.
type FeedChanges struct {
	Tables    *rrcatalog.Delta[rrcatalog.TableName, rrroute.Table]    `json:"tables,omitempty"`
	Searchers *rrcatalog.Delta[rrunit.SearcherID, rrcatalog.Searcher] `json:"searchers,omitempty"`
	Instances *rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance] `json:"instances,omitempty"`
}

// HasEntries reports whether they have more than new revisions.
func (c *FeedChanges) HasEntries() bool {
	return c.Tables.HasEntries() || c.Searchers.HasEntries() || c.Instances.HasEntries()
}

// Check builds the tables and returns an error that names the first invalid field.
func (c *FeedChanges) Check() error {
	if c.Tables != nil {
		if err := checkEntries(c.Tables, (*rrroute.Table).Build); err != nil {
			return err
		}
	}
	if c.Searchers != nil {
		if err := checkEntries(c.Searchers, (*rrcatalog.Searcher).Check); err != nil {
			return err
		}
	}
	if c.Instances != nil {
		return checkEntries(c.Instances, (*rrcatalog.Instance).Check)
	}
	return nil
}

func checkEntries[K ~string, V any](d *rrcatalog.Delta[K, V], check func(*V) error) error {
	for _, e := range d.Entries {
		if e.Value == nil {
			continue
		}
		if err := check(e.Value); err != nil {
			return err
		}
	}
	return nil
}
