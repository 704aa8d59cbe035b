package rrbench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// WriteTable writes the results as one table, with a group of lines for each case
// and a column for each dispatch strategy. Results of the same case and shape must be
// adjacent.
func WriteTable(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	columns := columnsOf(results)
	writeHead(tw, columns)
	for len(results) > 0 {
		n := 1
		for n < len(results) && results[n].Case == results[0].Case && results[n].Shape == results[0].Shape {
			n++
		}
		writeRow(tw, results[:n], columns)
		results = results[n:]
	}
	return eris.Wrap(tw.Flush(), "writing the table")
}

func columnsOf(results []*Result) []Strategy {
	var out []Strategy
	seen := make(map[Strategy]bool)
	for _, r := range results {
		if !seen[r.Strategy] {
			seen[r.Strategy] = true
			out = append(out, r.Strategy)
		}
	}
	return out
}

func writeHead(w io.Writer, columns []Strategy) {
	cells := []string{"shape", "case", "figure"}
	for _, c := range columns {
		cells = append(cells, string(c))
	}
	writeLine(w, cells)
}

func writeLine(w io.Writer, cells []string) { _, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) }

// figure is one line of a case in the table.
type figure struct {
	name   string
	format func(*Result) string
}

func figures() []figure {
	return []figure{
		{"p50 ms", byRank(func(r *RankResult) string { return milliseconds(r.P50.Std()) })},
		{"p99 ms", byRank(func(r *RankResult) string { return milliseconds(r.P99.Std()) })},
		{"p99.9 ms", byRank(func(r *RankResult) string { return milliseconds(r.P999.Std()) })},
		{"whole %", byRank(func(r *RankResult) string { return percent(r.CompleteShare()) })},
		{"whole/capacity %", byRank(func(r *RankResult) string { return percent(float64(r.Rate)) })},
		{"coverage %", byRank(func(r *RankResult) string { return percent(float64(r.Coverage)) })},
		{"refused %", byRank(func(r *RankResult) string {
			return percent(float64(r.Refused) / float64(max(1, r.Offered)))
		})},
		{"extra load %", func(r *Result) string { return percent(float64(r.ExtraShare)) }},
		{"slots, connections", func(r *Result) string { return fmt.Sprintf("%d, %d", r.PeakSlots, r.PeakConnections) }},
	}
}

func writeRow(w io.Writer, results []*Result, columns []Strategy) {
	for i, f := range figures() {
		cells := []string{"", "", f.name}
		if i == 0 {
			cells[0], cells[1] = results[0].Shape, results[0].Case
		}
		for _, c := range columns {
			cells = append(cells, cell(results, c, f))
		}
		writeLine(w, cells)
	}
}

func cell(results []*Result, c Strategy, f figure) string {
	for _, r := range results {
		if r.Strategy == c {
			return f.format(r)
		}
	}
	return "-"
}

// byRank formats a figure for each rank, most urgent first.
func byRank(of func(*RankResult) string) func(*Result) string {
	return func(r *Result) string {
		var parts []string
		for i := range r.Ranks {
			parts = append(parts, of(&r.Ranks[i]))
		}
		return strings.Join(parts, " / ")
	}
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1e3) }

func percent(v float64) string { return fmt.Sprintf("%.1f", v*100) }
