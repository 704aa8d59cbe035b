// Package rrplan generates the fault schedule of a soak run from a seed. The
// same seed always gives the same plan. Processes are identified by name only.
package rrplan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. The target of an event is a daemon, a searcher or the
// store.
const (
	// DaemonStop stops a daemon gracefully and starts it again.
	DaemonStop Kind = "daemon-stop"
	// DaemonKill kills a daemon and starts it again after the event's duration.
	DaemonKill Kind = "daemon-kill"
	// DaemonPause suspends a daemon (SIGSTOP).
	DaemonPause Kind = "daemon-pause"
	// DaemonReload changes a daemon's settings file and signals it to reload.
	DaemonReload Kind = "daemon-reload"
	// DaemonReplace kills a daemon for good, and starts one of another name at its addresses
	// after the event's duration.
	DaemonReplace Kind = "daemon-replace"
	// ReadersKill kills the daemons that read the store and changes the routes. Before they
	// start again, a searcher is removed from the store without a word, and goes on serving
	// until it is replaced.
	ReadersKill Kind = "readers-kill"
	// SearcherKill kills a searcher and starts a replacement.
	SearcherKill Kind = "searcher-kill"
	// SearcherPause suspends a searcher (SIGSTOP).
	SearcherPause Kind = "searcher-pause"
	// SearcherDrain drains a searcher and starts a replacement.
	SearcherDrain Kind = "searcher-leave"
	// SearcherLimit makes a searcher name a request limit.
	SearcherLimit Kind = "searcher-limit"
	// SearcherLeaves makes a searcher say in its answers that it leaves, until it is replaced.
	// The store lists it as ready all the while.
	SearcherLeaves Kind = "searcher-says-leaving"
	// SearcherAsksPause makes a searcher refuse all requests and ask for a pause.
	SearcherAsksPause Kind = "searcher-asks-pause"
	// SearcherEntry puts an entry of another writer over a searcher's: it names another service
	// and lacks fields. The searcher's own comes back at the end.
	SearcherEntry Kind = "searcher-entry"
	// SearcherAnswer makes a searcher send an odd answer in place of a share of its answers.
	SearcherAnswer Kind = "searcher-answer"
	// RequestCrash sends a request that ends the searchers that run it, again and again.
	RequestCrash Kind = "request-crash"
	// TableChange changes the routes and the layout of shards.
	TableChange Kind = "table"
	// TableBurst changes them three times in quick succession.
	TableBurst Kind = "tables"
	// StorePause suspends the store (SIGSTOP).
	StorePause Kind = "store-pause"
	// StoreRefuse makes the store answer 503.
	StoreRefuse Kind = "store-refuse"
	// StoreHang makes calls to the store hang.
	StoreHang Kind = "store-silent"
	// StoreLoseAnswers makes the store carry out writes and drop the answers.
	StoreLoseAnswers Kind = "store-lose"
	// StoreStaleReads makes the store serve reads from its state at the start of
	// the event.
	StoreStaleReads Kind = "store-old"
	// StoreDropHistory drops the store's history of changes.
	StoreDropHistory Kind = "store-forget"
	// StoreExpireEntries makes the store answer 503 and then recover without the
	// entries of a service, which are registered again a second later.
	StoreExpireEntries Kind = "store-lapse"
	// LinkDelay delays a link's bytes in both directions.
	LinkDelay Kind = "link-delay"
	// LinkReset resets a link's connections and refuses new ones.
	LinkReset Kind = "link-reset"
	// LinkBlockTo blocks the bytes to the target.
	LinkBlockTo Kind = "link-mute-to"
	// LinkBlockFrom blocks the bytes from the target.
	LinkBlockFrom Kind = "link-mute-from"
	// LinkBlockBoth blocks both directions.
	LinkBlockBoth Kind = "link-silent"
	// LinkBlockOpen blocks both directions of the connections that the link has at the start.
	LinkBlockOpen Kind = "link-open-silent"
)

// Link is a network link of a daemon or a searcher.
type Link string

// The links; each has a proxy.
const (
	// LinkCallers carries callers' requests to a daemon.
	LinkCallers Link = "callers"
	// LinkPeers carries other daemons' calls to a daemon.
	LinkPeers Link = "peers"
	// LinkStore carries a daemon's calls to the store.
	LinkStore Link = "store"
	// LinkSearcher carries daemons' requests to a searcher.
	LinkSearcher Link = "searcher"
)

// Event is one fault or change. Its target is a process, or the route of a RequestCrash.
type Event struct {
	// Number is its number in the plan, from 1. Select keeps the numbers.
	Number int
	// Start is relative to the start of the run.
	Start, Duration time.Duration
	Kind            Kind
	Target          string
	// Link is set only for the Link kinds.
	Link Link
	// Answer is the name of the odd answer, and Share the share of the answers that it
	// replaces; they are set only for SearcherAnswer.
	Answer string
	Share  rrunit.Share
	// Delay is how long a searcher runs the request before it ends, and Patience after which
	// time the request's caller leaves, zero if it waits; they are set only for RequestCrash.
	Delay, Patience time.Duration
}

func (e Event) String() string {
	out := fmt.Sprintf("event=%d at=%s for=%s kind=%s target=%s", e.Number, e.Start, e.Duration, e.Kind, e.Target)
	if e.Link != "" {
		out += fmt.Sprintf(" link=%s", e.Link)
	}
	switch e.Kind {
	case SearcherAnswer:
		out += fmt.Sprintf(" answer=%s share=%g", e.Answer, e.Share)
	case RequestCrash:
		out += fmt.Sprintf(" delay=%s patience=%s", e.Delay, e.Patience)
	}
	return out
}

// Targets are the names of the processes that events may hit. A name that is
// listed more than once is hit more often.
type Targets struct {
	Daemons, Searchers []string
	// Routes are the routes that a request that ends searchers may take.
	Routes []string
	// Answers are the names of the odd answers.
	Answers []string
}

// Timing of a plan.
const (
	// InitialQuietTime is the time without events at the start, which gives the
	// baseline that the end of the run is compared with.
	InitialQuietTime = 5 * time.Second
	// FinalQuietTime is the time without events at the end. It covers a stop
	// and a start, the bound on recovery, and five seconds in which requests
	// must be served again.
	FinalQuietTime = 16 * time.Second
	// meanInterval is the mean time between the starts of two events; most
	// events overlap.
	meanInterval = 700 * time.Millisecond
	// minDuration and maxDuration bound the duration of an event.
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// maxCrashDelay bounds how long a searcher runs a request that ends it.
	maxCrashDelay = 400 * time.Millisecond
)

// mainStream is the random stream of the events that have no stream of their own.
const mainStream = 0

// series are the kinds with a random stream of their own, so that the other events remain the
// same for a seed.
var series = []struct { //nolint:gochecknoglobals // constant
	stream       uint64
	kind         Kind
	meanInterval time.Duration
	// duration is how long an event lasts, or until the final quiet time; zero if it is drawn
	// like that of other events.
	duration time.Duration
}{
	// The bound on requests at a searcher applies some seconds after it began to limit them.
	{stream: 1, kind: SearcherLimit, meanInterval: 3 * time.Second, duration: 14 * time.Second},
	{stream: 2, kind: ReadersKill, meanInterval: 12 * time.Second},
	{stream: 3, kind: SearcherAnswer, meanInterval: time.Second},
	// The bound on retries applies some seconds after the third crash.
	{stream: 4, kind: RequestCrash, meanInterval: 8 * time.Second, duration: 14 * time.Second},
	{stream: 5, kind: SearcherLeaves, meanInterval: 5 * time.Second, duration: 10 * time.Second},
	{stream: 6, kind: SearcherAsksPause, meanInterval: 2 * time.Second},
	{stream: 7, kind: DaemonReplace, meanInterval: 10 * time.Second},
	{stream: 8, kind: SearcherEntry, meanInterval: 4 * time.Second, duration: 1200 * time.Millisecond},
	// What is silent is used again long after.
	{stream: 9, kind: LinkBlockOpen, meanInterval: 3 * time.Second, duration: 14 * time.Second},
}

// New generates the plan of a run of the given duration.
func New(seed uint64, duration time.Duration, targets Targets) []Event {
	r := rand.New(rand.NewPCG(seed, mainStream))
	var plan []Event
	add := func(e Event) {
		e.Number = len(plan) + 1
		plan = append(plan, e)
	}
	last := duration - FinalQuietTime - maxDuration
	for at := nextStart(r, InitialQuietTime, meanInterval); at <= last; at = nextStart(r, at, meanInterval) {
		e := Event{Start: at, Duration: drawDuration(r)}
		e.draw(r, targets)
		add(e)
	}
	for _, s := range series {
		r = rand.New(rand.NewPCG(seed, s.stream))
		for at := nextStart(r, InitialQuietTime, s.meanInterval); at <= last; at = nextStart(r, at, s.meanInterval) {
			e := Event{Start: at, Duration: min(s.duration, duration-FinalQuietTime-at), Kind: s.kind}
			if s.duration == 0 {
				e.Duration = drawDuration(r)
			}
			e.drawTarget(r, targets)
			add(e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

func drawDuration(r *rand.Rand) time.Duration {
	return minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration))).Round(time.Millisecond)
}

// nextStart draws the start of an event after another.
func nextStart(r *rand.Rand, at, meanInterval time.Duration) time.Duration {
	return at + time.Duration(r.ExpFloat64()*float64(meanInterval)).Round(time.Millisecond)
}

func (e *Event) draw(r *rand.Rand, targets Targets) {
	e.Kind = pick(r, []Kind{
		DaemonStop, DaemonStop, DaemonStop, DaemonKill, DaemonPause, DaemonReload,
		SearcherKill, SearcherPause, SearcherDrain, SearcherDrain, TableChange, TableChange, TableBurst,
		StorePause, StoreRefuse, StoreHang, StoreLoseAnswers, StoreStaleReads, StoreDropHistory, StoreExpireEntries,
		LinkDelay, LinkReset, LinkBlockTo, LinkBlockFrom, LinkBlockBoth,
	})
	e.drawTarget(r, targets)
}

// drawTarget draws the target of an event of known kind, and what else the kind has.
func (e *Event) drawTarget(r *rand.Rand, targets Targets) {
	switch e.Kind {
	case DaemonStop, DaemonKill, DaemonPause, DaemonReload, DaemonReplace:
		e.Target = pick(r, targets.Daemons)
	case SearcherKill, SearcherPause, SearcherDrain, SearcherLimit, SearcherLeaves, SearcherAsksPause, SearcherEntry, ReadersKill, StoreExpireEntries:
		e.Target = pick(r, targets.Searchers)
	case SearcherAnswer:
		e.Target = pick(r, targets.Searchers)
		e.Answer = pick(r, targets.Answers)
		e.Share = pick(r, []rrunit.Share{0.2, 0.5, 1})
	case RequestCrash:
		e.Target = pick(r, targets.Routes)
		e.Delay = time.Duration(r.Int64N(int64(maxCrashDelay))).Round(time.Millisecond)
		e.Patience = pick(r, []time.Duration{0, 25 * time.Millisecond, 100 * time.Millisecond})
	case LinkDelay, LinkReset, LinkBlockTo, LinkBlockFrom, LinkBlockBoth, LinkBlockOpen:
		e.Link = pick(r, linksOf(e.Kind))
		e.Target = pick(r, targets.Daemons)
		if e.Link == LinkSearcher {
			e.Target = pick(r, targets.Searchers)
		}
	default:
		e.Target = "store"
	}
}

// linksOf returns the links that events of the kind hit. One that is listed more than once is hit
// more often.
func linksOf(kind Kind) []Link {
	if kind == LinkBlockOpen {
		// A caller whose connection falls silent cannot tell, and waits.
		return []Link{LinkPeers, LinkStore, LinkStore, LinkSearcher, LinkSearcher}
	}
	return []Link{LinkCallers, LinkPeers, LinkStore, LinkSearcher, LinkSearcher}
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// Select returns the events whose numbers are in only (all if only is empty),
// up to number last (no limit if last is zero).
func Select(plan []Event, only []int, last int) []Event {
	return slices.DeleteFunc(slices.Clone(plan), func(e Event) bool {
		return len(only) > 0 && !slices.Contains(only, e.Number) || last > 0 && e.Number > last
	})
}
