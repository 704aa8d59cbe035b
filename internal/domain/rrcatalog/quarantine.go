package rrcatalog

import (
	"strconv"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// QuarantineName is the name of a quarantine's object: the fingerprint, in hexadecimal digits.
type QuarantineName string

// NewQuarantineName returns the name of the quarantine of a fingerprint.
func NewQuarantineName(f rrunit.Fingerprint) QuarantineName {
	return QuarantineName(strconv.FormatUint(uint64(f), hexBase))
}

const hexBase = 16

// Fingerprint returns the fingerprint that the name stands for.
func (n QuarantineName) Fingerprint() (rrunit.Fingerprint, error) {
	f, err := strconv.ParseUint(string(n), hexBase, 64)
	if err != nil {
		return 0, rrunit.Invalid("name", "%q is not a fingerprint", string(n))
	}
	return rrunit.Fingerprint(f), nil
}

// maxQuarantineLeft is the longest time that a recorded quarantine may last, by the time of
// day, which may be wrong.
const maxQuarantineLeft = 2 * time.Hour

// Quarantine is a request that crashes searchers, as the platform records it for daemons that
// start later.
type Quarantine struct {
	// By is the daemon that decided on it, and removes the record.
	By rrunit.InstanceID `json:"by"`
	// Until is the end by the time of day, in Unix milliseconds.
	Until int64 `json:"until"`
}

// Check returns an error that names the first invalid field.
func (q *Quarantine) Check() error {
	if err := rrunit.CheckName("by", q.By); err != nil {
		return err
	}
	if q.Until <= 0 {
		return rrunit.Invalid("until", "%d is not above 0", q.Until)
	}
	return nil
}

// Left returns the time that is left of it; zero or less if it has ended.
func (q *Quarantine) Left(now time.Time) rrunit.Duration {
	return rrunit.Duration(min(time.UnixMilli(q.Until).Sub(now), maxQuarantineLeft))
}
