package rrpeers

import (
	"context"
	"net/netip"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// FeedClient exchanges the state of the platform with other daemons.
type FeedClient interface {
	// Follow returns the peer's changes as soon as there are some, or none after
	// the requested wait.
	Follow(ctx context.Context, peer netip.AddrPort, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error)
	// SendEvidence sends evidence on searchers to the peer; limit is its timeout.
	SendEvidence(ctx context.Context, peer netip.AddrPort, e *rrpeer.Evidence, limit time.Duration) (*rrpeer.EvidenceReply, error)
}
