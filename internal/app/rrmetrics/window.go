package rrmetrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The range and precision of a latencyWindow, and its time as slices that expire
// one by one.
const (
	minLatency        = 10 * time.Microsecond
	maxLatency        = time.Minute
	significantDigits = 2
	windowSlices      = 6
	sliceDuration     = 10 * time.Second
)

// Quantiles are latency quantiles over the window.
type Quantiles struct {
	Count int64           `json:"count"`
	P50   rrunit.Duration `json:"p50"`
	P90   rrunit.Duration `json:"p90"`
	P99   rrunit.Duration `json:"p99"`
	P999  rrunit.Duration `json:"p999"`
	Max   rrunit.Duration `json:"max"`
}

// latencyWindow holds the latencies of the last windowSlices times sliceDuration. Its
// size does not grow with their number. It is not safe for concurrent use.
type latencyWindow struct {
	histogram *hdrhistogram.WindowedHistogram
	// sliceStart is the start of the current slice.
	sliceStart rrunit.Instant
}

func newLatencyWindow(now rrunit.Instant) *latencyWindow {
	return &latencyWindow{
		histogram:  hdrhistogram.NewWindowed(windowSlices, int64(minLatency), int64(maxLatency), significantDigits),
		sliceStart: now,
	}
}

// rotate starts the slice of now and drops expired slices.
func (w *latencyWindow) rotate(now rrunit.Instant) {
	due := int64(now.Sub(w.sliceStart) / sliceDuration)
	for range min(due, windowSlices) {
		w.histogram.Rotate()
	}
	w.sliceStart = w.sliceStart.Add(time.Duration(due) * sliceDuration)
}

func (w *latencyWindow) record(now rrunit.Instant, took time.Duration) {
	w.rotate(now)
	bounded := min(max(took, minLatency), maxLatency)
	_ = w.histogram.Current.RecordValue(int64(bounded))
}

func (w *latencyWindow) quantiles(now rrunit.Instant) Quantiles {
	w.rotate(now)
	h := w.histogram.Merge()
	at := func(q float64) rrunit.Duration { return rrunit.Duration(h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   rrunit.Duration(h.Max()),
	}
}
