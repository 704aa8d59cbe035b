package rrpeer

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Evidence is one daemon's recent request outcomes at the searchers that failed
// some of its requests or that have much more load than usual.
type Evidence struct {
	From rrunit.InstanceID `json:"from"`
	Met  []Met             `json:"met"`
}

// Met is the outcomes of requests at one searcher.
type Met struct {
	Service  rrunit.ServiceName `json:"service"`
	Searcher rrunit.SearcherID  `json:"searcher"`
	Answered int                `json:"answered,omitempty"`
	Missed   int                `json:"missed,omitempty"`
	// Told is the load that the searcher reported, nil unless it is high.
	Told *Told `json:"told,omitempty"`
}

// Told is a searcher's load report of some time ago.
type Told struct {
	Age Age `json:"age"`
	// Load is the number of requests of all callers at the searcher.
	Load int `json:"load"`
	// Pace is the time that work took there, in percent of the usual time; zero if
	// it was not reported.
	Pace int `json:"pace,omitempty"`
}

// MaxMet is the largest number of searchers in one Evidence.
const MaxMet = 512

// Check returns an error that names the first invalid field.
func (e *Evidence) Check() error {
	if e.From == "" {
		return rrunit.Invalid("from", "is missing")
	}
	if len(e.Met) > MaxMet {
		return rrunit.Invalid("met", "%d are more than %d", len(e.Met), MaxMet)
	}
	for i := range e.Met {
		m := &e.Met[i]
		if m.Answered < 0 || m.Missed < 0 {
			return rrunit.Invalid("met", "a count of %q is below 0", m.Searcher)
		}
		if m.Told != nil && (m.Told.Load < 0 || m.Told.Pace < 0) {
			return rrunit.Invalid("met.told", "a figure of %q is below 0", m.Searcher)
		}
	}
	return nil
}

// Heard is the reply to Evidence.
type Heard struct{}

// Check always returns nil.
func (*Heard) Check() error { return nil }
