package rrcatalog

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Entry is the last known state of one object.
type Entry[V any] struct {
	// Revision is that of the object's last change.
	Revision Revision `json:"revision"`
	// Value is the object's value, or the last one before it was removed; nil if
	// none was ever received.
	Value *V `json:"value,omitempty"`
	// Removed is true if the object was removed or has no usable value.
	Removed bool `json:"gone,omitempty"`
	// RemovalUncertain is true if the object was removed while the store was disturbed, so
	// that it may reappear soon.
	RemovalUncertain bool `json:"lapsed,omitempty"`
}

// Delta is the changes of a set after some revision.
type Delta[K ~string, V any] struct {
	// Revision is the set's revision after the change.
	Revision Revision `json:"revision"`
	// Full is true if Entries holds all existing objects, so that all others are
	// removed.
	Full bool `json:"whole,omitempty"`
	// RemovalUncertain is true if the objects that are absent from a whole delta were removed
	// while the store was disturbed.
	RemovalUncertain bool           `json:"lapsed,omitempty"`
	Entries          map[K]Entry[V] `json:"entries,omitempty"`
}

// HasEntries reports whether the delta has more than a new revision; a nil delta
// has not.
func (d *Delta[K, V]) HasEntries() bool { return d != nil && (d.Full || len(d.Entries) > 0) }

// maxRemoved is the number of removed objects that a set keeps, so that Since can
// report their removal.
const maxRemoved = 2048

// Set holds all objects of one kind as of a revision. It is immutable; the zero
// Set is empty.
type Set[K ~string, V any] struct {
	revision Revision
	// knownSince is the revision after which the set knows every removal: that of the last
	// whole delta, which does not say what was removed before, or that of the last removal
	// that was dropped.
	knownSince Revision
	// removedBeforeUncertain is set if the objects that are absent from the last whole delta
	// were removed while the store was disturbed.
	removedBeforeUncertain bool
	entries                map[K]Entry[V]
}

// Revision returns the revision up to which the set is complete.
func (s *Set[K, V]) Revision() Revision { return s.revision }

// Entries returns all objects, including the removed ones.
func (s *Set[K, V]) Entries() iter.Seq2[K, Entry[V]] { return maps.All(s.entries) }

// Live returns the values of the objects that are not removed.
func (s *Set[K, V]) Live() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for k, e := range s.entries {
			if !e.Removed && e.Value != nil && !yield(k, e.Value) {
				return
			}
		}
	}
}

// Has reports whether there is an object of the name that is not removed.
func (s *Set[K, V]) Has(name K) bool {
	e, ok := s.entries[name]
	return ok && !e.Removed
}

// With returns the set after the delta. It returns the set itself if the delta is
// not newer.
func (s *Set[K, V]) With(d Delta[K, V]) *Set[K, V] {
	if d.Revision <= s.revision {
		return s
	}
	out := &Set[K, V]{
		revision: d.Revision, knownSince: s.knownSince, removedBeforeUncertain: s.removedBeforeUncertain, entries: maps.Clone(s.entries),
	}
	if out.entries == nil {
		out.entries = make(map[K]Entry[V], len(d.Entries))
	}
	if d.Full {
		out.removeOthers(d)
		out.knownSince, out.removedBeforeUncertain = d.Revision, d.RemovalUncertain
	}
	for k, e := range d.Entries {
		old := out.entries[k]
		if e.Revision < old.Revision {
			continue
		}
		if e.Removed && e.Value == nil {
			e.Value = old.Value
		}
		out.entries[k] = e
	}
	out.compact()
	return out
}

// removeOthers marks the objects that are absent from a whole delta as removed.
func (s *Set[K, V]) removeOthers(d Delta[K, V]) {
	for k, e := range s.entries {
		if _, ok := d.Entries[k]; !ok && !e.Removed {
			s.entries[k] = Entry[V]{Revision: d.Revision, Value: e.Value, Removed: true, RemovalUncertain: d.RemovalUncertain}
		}
	}
}

// compact drops the oldest removed objects if there are more than maxRemoved.
func (s *Set[K, V]) compact() {
	var removed []K
	for k, e := range s.entries {
		if e.Removed {
			removed = append(removed, k)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, func(a, b K) int { return cmp.Compare(s.entries[a].Revision, s.entries[b].Revision) })
	for _, k := range removed[:len(removed)-maxRemoved/2] {
		if r := s.entries[k].Revision; r > s.knownSince {
			s.knownSince, s.removedBeforeUncertain = r, false
		}
		delete(s.entries, k)
	}
}

// Since returns the changes after the revision, and false if there are none. They are whole
// if objects may have been removed after the revision that the set does not know of.
func (s *Set[K, V]) Since(r Revision) (Delta[K, V], bool) {
	if s.revision <= r {
		return Delta[K, V]{}, false
	}
	// An object that the restored store lost may be unknown here, and is most likely written
	// again soon.
	isEarlierEra := r > 0 && r.Era() < s.revision.Era()
	isFull := r < s.knownSince || r == 0 || isEarlierEra
	d := Delta[K, V]{
		Revision: s.revision, Full: isFull,
		RemovalUncertain: isFull && (isEarlierEra || s.removedBeforeUncertain), Entries: make(map[K]Entry[V]),
	}
	for k, e := range s.entries {
		if e.Revision > r || d.Full && !e.Removed {
			d.Entries[k] = e
		}
	}
	return d, true
}
