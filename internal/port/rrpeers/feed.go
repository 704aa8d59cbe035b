package rrpeers

import (
	"context"
	"net/netip"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// Feeds exchanges the state of the platform with other daemons.
type Feeds interface {
	// Follow returns the peer's changes as soon as there are some, or none after
	// the requested wait.
	Follow(ctx context.Context, peer netip.AddrPort, ask *rrpeer.FeedAsk) (*rrpeer.FeedNews, error)
	// Tell sends evidence on searchers to the peer; limit is its timeout.
	Tell(ctx context.Context, peer netip.AddrPort, e *rrpeer.Evidence, limit time.Duration) (*rrpeer.Heard, error)
}
