package rrpeer

import (
	"cmp"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxCrashTimeLeft is the longest time that a daemon may ask for a crash to be passed on.
const maxCrashTimeLeft = rrunit.Duration(time.Minute)

// CrashedRun identifies a searcher that was found dead after it had received a request which
// nobody has answered since.
type CrashedRun struct {
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	Service     rrunit.ServiceName `json:"service"`
	Searcher    rrunit.SearcherID  `json:"searcher"`
}

// Compare orders crashes by fingerprint, service and searcher.
func (c CrashedRun) Compare(other CrashedRun) int {
	return cmp.Or(cmp.Compare(c.Fingerprint, other.Fingerprint), cmp.Compare(c.Service, other.Service), cmp.Compare(c.Searcher, other.Searcher))
}

// Crash is a crash that daemons tell each other of, so that all of them suspect the request.
type Crash struct {
	CrashedRun
	// TimeLeft is how much longer it is passed on.
	TimeLeft rrunit.Duration `json:"left"`
}

// Check returns an error that names the first invalid field.
func (c *Crash) Check() error {
	switch {
	case c.Service == "":
		return rrunit.Invalid("crashes.service", "is missing")
	case c.Searcher == "":
		return rrunit.Invalid("crashes.searcher", "is missing")
	case c.TimeLeft < 0 || c.TimeLeft > maxCrashTimeLeft:
		return rrunit.Invalid("crashes.left", "%s is not between 0s and %s", c.TimeLeft, maxCrashTimeLeft)
	default:
		return nil
	}
}
