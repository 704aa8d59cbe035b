package rrpeer

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Evidence is one daemon's recent request outcomes at the searchers that failed
// some of its requests or that have much more load than usual.
type Evidence struct {
	From      rrunit.InstanceID  `json:"from"`
	Searchers []SearcherEvidence `json:"met"`
}

// SearcherEvidence is the outcomes of requests at one searcher.
type SearcherEvidence struct {
	Service  rrunit.ServiceName `json:"service"`
	Searcher rrunit.SearcherID  `json:"searcher"`
	Answered int                `json:"answered,omitempty"`
	Failed   int                `json:"missed,omitempty"`
	// Load is the load that the searcher reported, nil unless it is high.
	Load *LoadReport `json:"told,omitempty"`
	// Limit is the request limit that the searcher named, nil unless that has changed.
	Limit *LimitReport `json:"limit,omitempty"`
	// Leaving is set if the searcher has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// LimitReport is the request limit that a searcher named some time ago.
type LimitReport struct {
	Age Age `json:"age"`
	// Limit is in requests a second of all daemons; nil if the searcher named none.
	Limit *rrunit.Rate `json:"rate,omitempty"`
}

// LoadReport is a searcher's load report of some time ago.
type LoadReport struct {
	Age Age `json:"age"`
	// Requests is the number of requests of all callers at the searcher.
	Requests int `json:"load"`
	// SlowdownPercent is the time that work took there, in percent of the usual time; zero if
	// it was not reported.
	SlowdownPercent int `json:"pace,omitempty"`
}

// MaxEvidenceSearchers is the largest number of searchers in one Evidence.
const MaxEvidenceSearchers = 512

// Check returns an error that names the first invalid field.
func (e *Evidence) Check() error {
	if e.From == "" {
		return rrunit.Invalid("from", "is missing")
	}
	if len(e.Searchers) > MaxEvidenceSearchers {
		return rrunit.Invalid("met", "%d are more than %d", len(e.Searchers), MaxEvidenceSearchers)
	}
	for i := range e.Searchers {
		m := &e.Searchers[i]
		if m.Answered < 0 || m.Failed < 0 {
			return rrunit.Invalid("met", "a count of %q is below 0", m.Searcher)
		}
		if m.Load != nil && (m.Load.Requests < 0 || m.Load.SlowdownPercent < 0) {
			return rrunit.Invalid("met.told", "a figure of %q is below 0", m.Searcher)
		}
		if m.Limit != nil && m.Limit.Limit != nil && !(*m.Limit.Limit >= 0) {
			return rrunit.Invalid("met.limit.rate", "%g of %q is not 0 or more", float64(*m.Limit.Limit), m.Searcher)
		}
	}
	return nil
}

// EvidenceReply is the reply to Evidence.
type EvidenceReply struct{}

// Check always returns nil.
func (*EvidenceReply) Check() error { return nil }
