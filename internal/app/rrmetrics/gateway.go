package rrmetrics

import (
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// GatewayMetrics are the metrics of a daemon that serves callers' routes. They are safe
// for concurrent use.
type GatewayMetrics struct {
	clock rrunit.Clock
	root  *expvar.Map
	// groups holds the counters of each group by label.
	groups map[Group]*expvar.Map

	// mu guards latencies.
	mu        sync.Mutex
	latencies map[Group]map[string]*latencyWindow
}

// Group is the name of a group of counters or latencies.
type Group string

// The groups of counters, each with its labels.
const (
	// GroupRequests counts callers' requests by route, rank and status.
	GroupRequests Group = "requests"
	// GroupDegraded counts answers that are late, incomplete or failed, by rank and
	// reason.
	GroupDegraded Group = "short"
	// GroupAttempts counts attempts to send a request to a searcher, by outcome.
	GroupAttempts Group = "attempts"
	// GroupExtraAttempts counts attempts beyond the first of their request, by service.
	GroupExtraAttempts Group = "extra"
	// GroupConnections counts connections opened to searchers, by service.
	GroupConnections Group = "connections"
	// GroupPreconnects counts connections that were opened in advance, by success.
	GroupPreconnects Group = "ready"
	// GroupPresence counts what became of other daemons in the store's record: doubted,
	// heard again, removed, or changed by another daemon meanwhile.
	GroupPresence Group = "presence"
	// GroupStore counts calls to the store by kind and success.
	GroupStore Group = "store"
	// GroupPeerCalls counts calls to other daemons for updates, by success.
	GroupPeerCalls Group = "peers"
	// GroupEvidence counts evidence sent to daemons of the zone, by success.
	GroupEvidence Group = "evidence"
	// GroupPeerBytes counts the bytes of messages between daemons, without headers,
	// by method, side of the connection (client or server) and direction.
	GroupPeerBytes Group = "peerbytes"
	// GroupPeerConnections has the number of open connections between daemons, by
	// side.
	GroupPeerConnections Group = "peerlinks"
	// GroupUnreadableLoads counts load reports in searchers' answers that could not be
	// parsed, by service.
	GroupUnreadableLoads Group = "unreadable"
	// GroupLimited counts attempts at searchers that named a request limit, by service
	// and whether the attempt was the first of its request.
	GroupLimited Group = "limited"
	// GroupPauses counts refusals of searchers that asked for a pause, by service.
	GroupPauses Group = "pauses"
	// GroupCrashChecks counts attempts whose connection was lost, by what the check of
	// the searcher found.
	GroupCrashChecks Group = "losses"
	// GroupOrphanChecks counts checks of searchers that may still run what was abandoned
	// there, by what was found.
	GroupOrphanChecks Group = "checks"
	// GroupQuarantines counts requests that were quarantined, by whether this daemon decided
	// on it.
	GroupQuarantines Group = "quarantines"
	// GroupErrors counts unexpected errors, by service.
	GroupErrors Group = "errors"
	// GroupSearcherStatus counts changes of searchers' status.
	GroupSearcherStatus Group = "beliefs"
)

// The groups of latencies, over the last minute.
const (
	// GroupAnswerTime has the time to the answer by rank and status class.
	GroupAnswerTime Group = "answertime"
	// GroupAttemptTime has the time of answered attempts by zone.
	GroupAttemptTime Group = "attempttime"
	// GroupStoreTime has the time of calls to the store, except long polls.
	GroupStoreTime Group = "storetime"
)

// NewGatewayMetrics returns metrics that count from zero.
func NewGatewayMetrics() *GatewayMetrics {
	m := &GatewayMetrics{
		clock:     rrunit.SystemClock(),
		root:      new(expvar.Map),
		groups:    make(map[Group]*expvar.Map),
		latencies: make(map[Group]map[string]*latencyWindow),
	}
	for _, g := range []Group{
		GroupRequests, GroupDegraded, GroupAttempts, GroupExtraAttempts, GroupConnections, GroupPreconnects, GroupStore, GroupPresence, GroupPeerCalls, GroupEvidence, GroupUnreadableLoads, GroupLimited, GroupPauses, GroupCrashChecks, GroupOrphanChecks, GroupQuarantines, GroupErrors, GroupSearcherStatus,
		GroupPeerBytes, GroupPeerConnections,
	} {
		m.groups[g] = new(expvar.Map)
		m.root.Set(string(g), m.groups[g])
	}
	for _, g := range []Group{GroupAnswerTime, GroupAttemptTime, GroupStoreTime} {
		m.latencies[g] = make(map[string]*latencyWindow)
		m.root.Set(string(g), expvar.Func(func() any { return m.quantiles(g) }))
	}
	return m
}

// Set adds another variable.
func (m *GatewayMetrics) Set(name string, v expvar.Var) { m.root.Set(name, v) }

// Count increments the counter with the labels.
func (m *GatewayMetrics) Count(g Group, labels string) { m.Add(g, labels, 1) }

// Add adds n to the counter with the labels.
func (m *GatewayMetrics) Add(g Group, labels string, n int) { m.groups[g].Add(labels, int64(n)) }

// RecordLatency records a latency under the labels.
func (m *GatewayMetrics) RecordLatency(g Group, labels string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	w := m.latencies[g][labels]
	if w == nil {
		w = newLatencyWindow(now)
		m.latencies[g][labels] = w
	}
	w.record(now, took)
}

func (m *GatewayMetrics) quantiles(g Group) map[string]Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Quantiles, len(m.latencies[g]))
	for labels, w := range m.latencies[g] {
		out[labels] = w.quantiles(m.clock())
	}
	return out
}

// ServeHTTP writes all variables as JSON: the daemon's under the name rhubarbreel, then the
// process's own, such as memstats, of which a collector may cut off the end.
func (m *GatewayMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeVars(w, m.root) }

func writeVars(w http.ResponseWriter, root *expvar.Map) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// Errors are ignored: they mean that the client has disconnected.
	_, _ = fmt.Fprintf(w, "{\n%q: %s", "rhubarbreel", root)
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	_, _ = fmt.Fprint(w, "\n}\n")
}

// JoinLabels joins labels, each a name or a number, with commas.
func JoinLabels(labels ...any) string {
	out := ""
	for i, p := range labels {
		if i > 0 {
			out += ","
		}
		switch v := p.(type) {
		case string:
			out += v
		case int:
			out += strconv.Itoa(v)
		default:
			out += fmt.Sprint(v)
		}
	}
	return out
}
