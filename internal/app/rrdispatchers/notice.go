package rrdispatchers

import (
	"net/http"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// Sources of a searcher's notice in the log.
const (
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// recordNotice passes what the searcher said of further requests to the core. The caller
// holds mu.
func (d *dispatcher) recordNotice(now rrunit.Instant, at *attempt) {
	res := &at.response
	if res.Status == http.StatusMisdirectedRequest {
		// The answer is of another searcher, at the same address.
		return
	}
	if res.NoticeErr != nil {
		d.recordUnreadable(at, res.NoticeErr)
	}
	if res.Notice.Leaving && d.core.RecordLeaving(at.searcher, true) {
		d.logLeaving(at.searcher, sourceAnswer)
	}
	if pause := res.Notice.Pause; pause > 0 {
		d.parent.metrics.Count(rrmetrics.GroupPauses, string(d.name))
		if d.core.RecordPause(now, at.searcher, pause) {
			d.parent.log.StateChange("searcher paused", "service", d.name, "searcher", at.searcher, "for", pause, "id", at.job.Request.ID)
		}
	}
}

// recordPeerLeaving records that a searcher said to another daemon that it leaves.
func (d *dispatcher) recordPeerLeaving(id rrunit.SearcherID) {
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		if d.core.RecordLeaving(id, false) {
			d.logLeaving(id, sourcePeer)
		}
		return d.core.Tick(now)
	})
}

func (d *dispatcher) logLeaving(id rrunit.SearcherID, source string) {
	d.parent.log.StateChange("searcher leaves", "service", d.name, "searcher", id, "source", source)
}
