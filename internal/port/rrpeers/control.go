package rrpeers

import (
	"context"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// ControlClient is the calls between daemons other than the work on shards.
type ControlClient interface {
	// Exchange sends a digest to the peer and returns the peer's digest.
	Exchange(ctx context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error)
	// Fetch returns the peer's copy of a document; its sum is zero if the peer has
	// none.
	Fetch(ctx context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error)
}

// ControlClients returns the ControlClient of each peer by its address.
type ControlClients interface {
	// Control returns the ControlClient of the peer, which connects on first use.
	Control(address string) (ControlClient, error)
}
