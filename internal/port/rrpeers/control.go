package rrpeers

import (
	"context"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// Control is the calls between daemons other than the work on shards.
type Control interface {
	// Exchange sends a digest to the peer and returns the peer's digest.
	Exchange(ctx context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error)
	// Fetch returns the peer's copy of a document; its sum is zero if the peer has
	// none.
	Fetch(ctx context.Context, a *rrpeer.Ask) (*rrpeer.Copy, error)
}

// Controls returns the Control of each peer by its address.
type Controls interface {
	// Control returns the Control of the peer, which connects on first use.
	Control(address string) (Control, error)
}
