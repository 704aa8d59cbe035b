package rrdaemon

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// logShardError logs an unexpected error that ended the work of a shard.
func (d *Daemon) logShardError(key rrunit.ShardKey, err error) {
	d.log.Error("dispatcher failed", "service", key.Service, "shard", key.Shard, "err", err)
}
