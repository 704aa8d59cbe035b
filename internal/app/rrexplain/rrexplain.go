// Package rrexplain determines the cause of a request's result from the log lines
// of daemons, by the steps in docs/OPERATIONS.md. It depends on the fields of the
// lines only.
package rrexplain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// Line holds the values of one log line by key.
type Line map[string]string

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Read parses log lines. It skips text before the first field of a line, such as a
// prefix of the log collector, and lines without a time or without a message.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.Index(text, "time=")
		if at < 0 {
			continue
		}
		line := make(Line)
		dec := logfmt.NewDecoder(strings.NewReader(text[at:]))
		for dec.ScanRecord() {
			for dec.ScanKeyval() {
				line[string(dec.Key())] = string(dec.Value())
			}
		}
		if line["msg"] != "" {
			out = append(out, line)
		}
	}
	return out, eris.Wrap(scanner.Err(), "reading the log")
}

// time returns the line's time, zero if it has none.
func (l Line) time() time.Time {
	t, err := time.Parse(time.RFC3339Nano, l["time"])
	if err != nil {
		return time.Time{}
	}
	return t
}

// Cause is the cause of a request's result.
type Cause string

// The causes.
const (
	// CauseUnknown means that no line shows the cause.
	CauseUnknown Cause = "unknown"
	// CauseNone means a complete answer in time.
	CauseNone Cause = "none"
	// CauseNoRoutingTable means that the daemon had no routing table yet.
	CauseNoRoutingTable Cause = "notable"
	// CauseMalformed means that the request was rejected before it was routed.
	CauseMalformed Cause = "malformed"
	// CauseNoSearcher means that the daemon had no searcher with a usable status.
	CauseNoSearcher Cause = "nosearcher"
	// CauseInternal is an unexpected error in the daemon's decisions on a service.
	CauseInternal Cause = "internal"
	// CauseRefused means that searchers refused it, or it waited too long for one.
	CauseRefused Cause = "refused"
	// CauseLimited means that the request limits that searchers name left no room.
	CauseLimited Cause = "limited"
	// CausePaused means that all searchers had asked for a pause.
	CausePaused Cause = "paused"
	// CauseSlow means that searchers were slow or stalled.
	CauseSlow Cause = "slow"
	// CauseLost means that a searcher or its answer was lost.
	CauseLost Cause = "lost"
	// CauseOutcomeUnknown means that a non-idempotent request was sent, but it is unknown
	// whether it ran.
	CauseOutcomeUnknown Cause = "nooutcome"
	// CauseQuarantine means that the request was found to crash searchers.
	CauseQuarantine Cause = "quarantine"
	// CauseCallerGone means that the caller disconnected before the answer.
	CauseCallerGone Cause = "caller"
)

// Report explains the result of a request.
type Report struct {
	ID    string
	Cause Cause
	// Steps are the findings, in the order in which they were made.
	Steps []Step
}

// Step is a finding and the line that shows it.
type Step struct {
	Finding string
	Line    Line
}

// statusLookback is how long before a request's end a status change may have
// affected it.
const statusLookback = 15 * time.Second

// Explain determines the cause of the request's result.
func Explain(lines []Line, id string) *Report {
	r := &Report{ID: id, Cause: CauseUnknown}
	var requestLines []Line
	for _, l := range lines {
		if l["id"] == id {
			requestLines = append(requestLines, l)
		}
	}
	finalIndex := slices.IndexFunc(requestLines, func(l Line) bool { return strings.HasPrefix(l["msg"], "request ") })
	if finalIndex < 0 {
		return r
	}
	final := requestLines[finalIndex]
	r.addStep(final, "%s answered %s after %s (target %s, caller waits %s)%s",
		final["instance"], final["status"], orDefault(final["took"], "no time"), final["target"], final["left"], coverage(final))
	parts := partLines(requestLines)
	r.Cause = causeOf(final, parts)
	for _, p := range parts {
		r.addStep(p, "%s: %s, attempts %s", p["service"], partFinding(p), orDefault(p["attempts"], "none"))
	}
	r.addStatusChanges(lines, final, parts)
	return r
}

func (r *Report) addStep(l Line, format string, args ...any) {
	r.Steps = append(r.Steps, Step{Finding: fmt.Sprintf(format, args...), Line: l})
}

func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

func coverage(final Line) string {
	if final["shards"] == "" {
		return ""
	}
	return ", shards " + final["shards"]
}

// partLines returns the lines on parts of the request. A part that was answered at
// the first attempt has none.
func partLines(requestLines []Line) []Line {
	var out []Line
	for _, l := range requestLines {
		if strings.HasPrefix(l["msg"], "part ") {
			out = append(out, l)
		}
	}
	return out
}

func partFinding(p Line) string {
	switch p["msg"] {
	case "part left out":
		return "left out at the target, budget for more attempts " + p["budget"]
	case "part failed":
		return "failed: " + p["reason"]
	default:
		return "answered by a later attempt"
	}
}

// causeOf derives the cause from the lines on the final answer and on the parts.
func causeOf(final Line, parts []Line) Cause {
	if final["msg"] == "request answered" {
		return CauseNone
	}
	switch final["reason"] {
	case "store":
		return CauseNoRoutingTable
	case "malformed", "noroute", "large":
		return CauseMalformed
	case "quarantine":
		return CauseQuarantine
	case "cancelled":
		return CauseCallerGone
	case "lost":
		if final["kind"] == "once" {
			return CauseOutcomeUnknown
		}
		return CauseLost
	}
	if c := causeOfReason(final["reason"]); c != CauseUnknown {
		return c
	}
	return causeOfParts(final, parts)
}

// causeOfReason returns the cause that a reason stands for in requests and parts alike.
func causeOfReason(reason string) Cause {
	switch reason {
	case "nosearcher":
		return CauseNoSearcher
	case "overload":
		return CauseRefused
	case "limited":
		return CauseLimited
	case "paused":
		return CausePaused
	case "internal":
		return CauseInternal
	default:
		return CauseUnknown
	}
}

// causeOfParts returns the cause of a late or incomplete answer: the most frequent
// cause among its parts.
func causeOfParts(final Line, parts []Line) Cause {
	counts := make(map[Cause]int)
	for _, p := range parts {
		if p["msg"] != "part answered" {
			counts[causeOfPart(p)]++
		}
	}
	best := CauseUnknown
	for _, c := range []Cause{CauseSlow, CauseLost, CauseRefused, CauseLimited, CausePaused, CauseNoSearcher, CauseInternal} {
		if counts[c] > counts[best] {
			best = c
		}
	}
	if best == CauseUnknown && (final["late"] == "true" || final["reason"] == "deadline") {
		return CauseSlow
	}
	return best
}

// causeOfPart returns the cause of a part without an answer.
func causeOfPart(p Line) Cause {
	if p["reason"] == "lost" {
		return CauseLost
	}
	if c := causeOfReason(p["reason"]); c != CauseUnknown {
		return c
	}
	return CauseSlow
}

// addStatusChanges adds the daemon's changes of state shortly before the request's
// end: the status of the searchers that the request was sent to, and of all
// searchers of services for which it was sent to none; the routing table; and the
// source of the daemon's data.
func (r *Report) addStatusChanges(lines []Line, final Line, parts []Line) {
	end := final.time()
	for _, l := range lines {
		at := l.time()
		if l["instance"] != final["instance"] || at.After(end) || end.Sub(at) > statusLookback {
			continue
		}
		if isStatusChange(l) && concernsParts(l, parts) {
			r.addStep(l, "%s %s before%s", statusFinding(l), end.Sub(at).Round(time.Millisecond), statusCause(l))
			continue
		}
		r.addDaemonChange(l, end.Sub(at).Round(time.Millisecond))
	}
}

// addDaemonChange adds a change of the daemon's own state, that long before the request's end.
func (r *Report) addDaemonChange(l Line, before time.Duration) {
	switch {
	case l["msg"] == "routing table in force":
		r.addStep(l, "routing table %s came into force %s before", l["number"], before)
	case l["msg"] == "source of knowledge":
		r.addStep(l, "the daemon reads the store: %s (%s)", l["store"], orDefault(l["cause"], "reported by peers"))
	case l["msg"] == "dispatcher failed" && r.Cause == CauseInternal:
		r.addStep(l, "the daemon's dispatcher of %s failed: %s", l["service"], l["err"])
	case l["msg"] == "request quarantined" && r.Cause == CauseQuarantine:
		r.addStep(l, "fingerprint %s was quarantined by %s", l["fingerprint"], orDefault(l["source"], "itself"))
	}
}

func isStatusChange(l Line) bool {
	return l["searcher"] != "" && strings.HasPrefix(l["msg"], "searcher ")
}

// statusFinding returns what a change of a searcher's status says.
func statusFinding(l Line) string {
	if l["limit"] != "" {
		return fmt.Sprintf("%s named a limit of %s requests a second", l["searcher"], l["limit"])
	}
	switch l["msg"] {
	case "searcher leaves":
		return l["searcher"] + " said that it leaves"
	case "searcher paused":
		return l["searcher"] + " asked for a pause of " + l["for"]
	}
	return fmt.Sprintf("%s was taken to be %s", l["searcher"], strings.TrimPrefix(l["msg"], "searcher "))
}

// statusCause returns why a searcher's status changed; empty if the searcher said so.
func statusCause(l Line) string {
	if l["limit"] != "" {
		return ""
	}
	return " (" + orDefault(l["cause"], "by its entry") + ")"
}

// concernsParts reports whether a status change is of a searcher that a part was
// sent to, or of one in a service whose part was sent to no searcher.
func concernsParts(statusChange Line, parts []Line) bool {
	for _, p := range parts {
		if strings.Contains(p["attempts"], statusChange["searcher"]) || p["attempts"] == "" && p["service"] == statusChange["service"] {
			return true
		}
	}
	return false
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", r.ID, r.Cause)
	for i, s := range r.Steps {
		fmt.Fprintf(&b, "%2d. %s  %s\n", i+1, s.Line["time"], s.Finding)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "writing the report")
}
