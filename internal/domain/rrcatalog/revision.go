package rrcatalog

import (
	"fmt"
	"strconv"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Era counts how often the platform's store was restored from an earlier copy. What was
// written after the copy was made is lost, and its revisions are given out again.
type Era uint64

// Revision orders the changes of the platform's store over all eras; zero precedes all
// others. Its high bits are the era, the others the store's own counter.
type Revision uint64

const (
	counterBits = 48
	maxCounter  = 1<<counterBits - 1
	maxEra      = 1<<(64-counterBits) - 1
)

// NewRevision returns the revision of the store's counter in an era. The error names the
// field that is too large.
func NewRevision(era Era, counter uint64) (Revision, error) {
	if era > maxEra {
		return 0, rrunit.Invalid("era", "%d is above %d", era, uint64(maxEra))
	}
	if counter > maxCounter {
		return 0, rrunit.Invalid("revision", "%d is above %d", counter, uint64(maxCounter))
	}
	return Revision(uint64(era)<<counterBits | counter), nil
}

// Era returns the era.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the store's own counter.
func (r Revision) Counter() uint64 { return uint64(r & maxCounter) }

// String returns the counter, after the era if there is one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Counter(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Counter())
}
