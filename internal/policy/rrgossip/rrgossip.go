// Package rrgossip is a gossip protocol that distributes the definition and the
// platform's list of instances to every daemon: a few daemons of each zone, its
// watchers, read the platform; the others copy from peers whose digests have a
// newer version. A daemon never goes back to a lower definition number. The package
// holds no goroutine, clock or connection.
package rrgossip

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

const (
	// fetchTimeout is how long a fetch may run before another peer is asked.
	fetchTimeout = 3 * time.Second
	// staleListAge is the age of the list at which a daemon that is not a watcher
	// reads the platform itself, as its zone's watchers have probably failed.
	staleListAge = 20 * time.Second
	// minAgeGain is how much newer another reading of the list must be to be
	// copied. Otherwise daemons would alternate between lists while the platform
	// returns different lists to different readers.
	minAgeGain = 2 * time.Second
)

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	// ActionExchange sends a digest to the peer and receives its digest in reply.
	ActionExchange ActionKind = "exchange"
	// ActionFetch copies a document from the peer.
	ActionFetch ActionKind = "fetch"
)

// Action is an action for the daemon to carry out.
type Action struct {
	Kind ActionKind
	Peer rrmember.Peer
	// Digest is the digest to send in an exchange.
	Digest rrpeer.Digest
	// Document is the document to fetch.
	Document rrpeer.Document
}

// Node is the control plane of one daemon: its membership and the versions of its
// copies of the shared documents. It is not safe for concurrent use.
type Node struct {
	members *rrmember.Membership

	number rrunit.DefinitionNumber
	// listSum is the checksum of the list in use, and listReadAt when a daemon read
	// that list from the platform.
	listSum    rrpeer.Sum
	listReadAt rrunit.Instant

	// fetching holds the start of each running fetch.
	fetching map[rrpeer.Document]rrunit.Instant
}

// NewNode returns a node with the membership.
func NewNode(members *rrmember.Membership) *Node {
	return &Node{members: members, fetching: make(map[rrpeer.Document]rrunit.Instant)}
}

// Members returns the membership.
func (n *Node) Members() *rrmember.Membership { return n.members }

// Number returns the number of the definition in use.
func (n *Node) Number() rrunit.DefinitionNumber { return n.number }

// Tick returns the heartbeats that are due. It must be called every
// rrmember.HeartbeatInterval.
func (n *Node) Tick(now rrunit.Instant) []Action {
	n.updateVersions(now)
	return n.exchanges(now, n.members.Heartbeat(now))
}

func (n *Node) exchanges(now rrunit.Instant, peers []rrmember.Peer) []Action {
	out := make([]Action, 0, len(peers))
	for _, p := range peers {
		out = append(out, Action{Kind: ActionExchange, Peer: p, Digest: n.members.Digest(now)})
	}
	return out
}

// updateVersions sets the document versions in the digests of the membership.
func (n *Node) updateVersions(now rrunit.Instant) {
	versions := rrpeer.DocumentVersions{Number: n.number, ListSum: n.listSum}
	if n.listSum != 0 {
		versions.ListAge = rrpeer.NewAge(now.Sub(n.listReadAt))
	}
	n.members.SetVersions(versions)
}

// Receive processes a peer's digest, and returns the digest to reply with, the
// actions to carry out and the new quarantines.
func (n *Node) Receive(now rrunit.Instant, d *rrpeer.Digest) (rrpeer.Digest, []Action, []rrpeer.Quarantine) {
	n.members.RecordIncomingExchange()
	actions, quarantines := n.ReceiveReply(now, d)
	n.updateVersions(now)
	return n.members.Digest(now), actions, quarantines
}

// ReceiveReply processes the digest that a peer replied with.
func (n *Node) ReceiveReply(now rrunit.Instant, d *rrpeer.Digest) ([]Action, []rrpeer.Quarantine) {
	quarantines := n.members.HandleDigest(now, d)
	return n.compare(now, d), quarantines
}

// ExchangeFailed records that an exchange with the peer failed.
func (n *Node) ExchangeFailed(now rrunit.Instant, peer rrunit.InstanceID) {
	n.members.RecordFailure(now, peer)
}

// compare returns the fetches of newer documents from the sender of a digest.
func (n *Node) compare(now rrunit.Instant, d *rrpeer.Digest) []Action {
	peer, ok := n.members.List().Peer(d.From)
	if !ok {
		return nil
	}
	var out []Action
	if d.Versions.Number > n.number {
		out = n.fetch(now, out, peer, rrpeer.DocumentDefinition)
	}
	readAt := now.Add(-d.Versions.ListAge.Std())
	switch {
	case d.Versions.ListSum == 0:
	case d.Versions.ListSum == n.listSum:
		n.listReadAt = max(n.listReadAt, readAt)
	case n.listSum != 0 && readAt.Sub(n.listReadAt) < minAgeGain:
	default:
		out = n.fetch(now, out, peer, rrpeer.DocumentList)
	}
	return out
}

func (n *Node) fetch(now rrunit.Instant, out []Action, from rrmember.Peer, document rrpeer.Document) []Action {
	if at, ok := n.fetching[document]; ok && now.Sub(at) < fetchTimeout {
		return out
	}
	n.fetching[document] = now
	return append(out, Action{Kind: ActionFetch, Peer: from, Document: document})
}

// FetchEnded records that a fetch has succeeded or failed. The next digest with a
// newer version starts another one.
func (n *Node) FetchEnded(document rrpeer.Document) { delete(n.fetching, document) }

// IsNewer reports whether a definition of that number is newer than the one in use.
// Only a newer one may be applied.
func (n *Node) IsNewer(number rrunit.DefinitionNumber) bool { return number > n.number }

// DefinitionApplied records that the definition of that number is now in use, and returns
// the exchanges that announce it at once.
func (n *Node) DefinitionApplied(now rrunit.Instant, number rrunit.DefinitionNumber) []Action {
	if !n.IsNewer(number) {
		return nil
	}
	n.number = number
	n.updateVersions(now)
	return n.exchanges(now, n.members.ImmediatePeers())
}

// OfferList processes a reading of the list with that checksum and age. It returns
// true if the list differs from the one in use and is newer. SetList must then be
// called.
func (n *Node) OfferList(now rrunit.Instant, sum rrpeer.Sum, age time.Duration) bool {
	readAt := now.Add(-age)
	if n.listSum != 0 && readAt <= n.listReadAt {
		return false
	}
	n.listReadAt = readAt
	if sum == n.listSum {
		return false
	}
	n.listSum = sum
	return true
}

// SetList sets the list that OfferList found newer, and returns the exchanges that
// announce it at once.
func (n *Node) SetList(now rrunit.Instant, l *rrmember.List) []Action {
	n.members.SetList(l)
	n.updateVersions(now)
	return n.exchanges(now, n.members.ImmediatePeers())
}

// ListAge returns how long ago a daemon read the list in use from the platform.
func (n *Node) ListAge(now rrunit.Instant) time.Duration { return now.Sub(n.listReadAt) }

// ReadsPlatform reports whether this daemon reads the list and watches the
// definition itself: it is a watcher, or lacks the list or the definition.
func (n *Node) ReadsPlatform() bool {
	return n.listSum == 0 || n.number == 0 || n.members.IsWatcher()
}

// ReadsListOnce reports whether this daemon should read the list once although it
// is not a watcher, because the readings that it receives are stale.
func (n *Node) ReadsListOnce(now rrunit.Instant) bool { return n.ListAge(now) >= staleListAge }
