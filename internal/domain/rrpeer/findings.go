package rrpeer

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Bounds of the findings that daemons tell each other in one message.
const (
	MaxQuarantines = 512
	MaxCrashes     = 512
	// Earlier versions refuse requests with more than these, and keep no more, the first by
	// key.
	earlierMaxQuarantines = 32
	earlierMaxCrashes     = 16
)

// Findings are what daemons have found out of requests that crash searchers, in the order of
// their keys.
type Findings struct {
	Quarantines []Quarantine
	Crashes     []Crash
}

// IsEmpty reports whether there are none.
func (f *Findings) IsEmpty() bool { return len(f.Quarantines) == 0 && len(f.Crashes) == 0 }

// Limits are how many findings a daemon keeps.
type Limits struct{ Quarantines, Crashes int }

// SetFindings sets the findings that the requester knows.
func (a *FeedRequest) SetFindings(f Findings) {
	a.KeepsMore = true
	a.Quarantines, a.MoreQuarantines = split(f.Quarantines, earlierMaxQuarantines)
	a.Crashes, a.MoreCrashes = split(f.Crashes, earlierMaxCrashes)
}

func split[T any](list []T, n int) (first, rest []T) {
	n = min(n, len(list))
	return list[:n:n], list[n:]
}

// Findings returns the findings that the requester knows.
func (a *FeedRequest) Findings() Findings {
	return Findings{
		Quarantines: append(a.Quarantines[:len(a.Quarantines):len(a.Quarantines)], a.MoreQuarantines...),
		Crashes:     append(a.Crashes[:len(a.Crashes):len(a.Crashes)], a.MoreCrashes...),
	}
}

// Findings returns the findings that the requester does not have.
func (n *FeedResponse) Findings() Findings {
	return Findings{Quarantines: n.Quarantines, Crashes: n.Crashes}
}

// Limits returns how many findings the requester keeps. It would be sent more again and
// again.
func (a *FeedRequest) Limits() Limits {
	if a.KeepsMore {
		return Limits{Quarantines: MaxQuarantines, Crashes: MaxCrashes}
	}
	return Limits{Quarantines: earlierMaxQuarantines, Crashes: earlierMaxCrashes}
}

// check returns an error that names the first invalid field.
func (f *Findings) check() error {
	if len(f.Quarantines) > MaxQuarantines {
		return rrunit.Invalid("quarantines", "%d are more than %d", len(f.Quarantines), MaxQuarantines)
	}
	if len(f.Crashes) > MaxCrashes {
		return rrunit.Invalid("crashes", "%d are more than %d", len(f.Crashes), MaxCrashes)
	}
	for i := range f.Crashes {
		if err := f.Crashes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
