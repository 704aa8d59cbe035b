package rrdaemon

import (
	"context"
	"time"
)

// claimFlushTimeout bounds how long a stop waits for the outcomes of
// non-idempotent requests to be stored.
const claimFlushTimeout = 2 * time.Second

// flushClaims waits until the outcomes of non-idempotent requests are stored.
func (d *Daemon) flushClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimFlushTimeout)
	defer cancel()
	if n := d.claims.Flush(ctx); n > 0 {
		d.log.Warn("outcomes of non-idempotent requests not stored before the stop", "count", n)
	}
}
