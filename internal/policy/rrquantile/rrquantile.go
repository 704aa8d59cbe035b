// Package rrquantile estimates quantiles of recent latencies in constant memory.
package rrquantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Bounds of the histograms, and of the windows of recent samples. Quantiles are
// recomputed after every refreshSamples samples.
const (
	resolution        = 10 * time.Microsecond
	maxLatency        = time.Minute
	significantDigits = 2
	windowCount       = 2
	maxWindowSamples  = 1024
	maxWindowAge      = 10 * time.Second
	refreshSamples    = 64
)

// Estimator estimates quantiles over the latencies of the current and the previous time
// window. A time window ends after maxWindowSamples samples or after maxWindowAge. It
// is not safe for concurrent use.
type Estimator struct {
	// histogram is nil before the first latency, to save memory: most ranks of most
	// shards never have one.
	histogram *hdrhistogram.WindowedHistogram
	quantiles []float64
	// values are the quantiles at the last refresh.
	values []time.Duration
	// samples counts all samples since the start.
	samples int
	// inWindow counts the samples of the current window, which began at windowStart.
	inWindow    int
	windowStart rrunit.Instant
	// unrefreshed counts the samples since the last refresh.
	unrefreshed int
}

// New returns an Estimator of the given quantiles, each from 0 to 100.
func New(quantiles ...float64) *Estimator {
	return &Estimator{quantiles: quantiles, values: make([]time.Duration, len(quantiles))}
}

// Record adds one latency. Latencies above a minute count as a minute.
func (w *Estimator) Record(now rrunit.Instant, latency time.Duration) {
	if w.histogram == nil {
		w.histogram = hdrhistogram.NewWindowed(windowCount, 1, int64(maxLatency/resolution), significantDigits)
	}
	w.rotate(now)
	ticks := min(max(latency, resolution), maxLatency) / resolution
	// The value lies within the histogram's bounds, so this cannot fail.
	_ = w.histogram.Current.RecordValue(int64(ticks))
	w.samples++
	w.inWindow++
	w.unrefreshed++
	if w.unrefreshed >= refreshSamples || w.samples < refreshSamples && w.samples%8 == 0 {
		w.refresh()
	}
}

// rotate starts a new window once the current one is full or old.
func (w *Estimator) rotate(now rrunit.Instant) {
	if w.inWindow == 0 {
		w.windowStart = now
		return
	}
	if w.inWindow < maxWindowSamples && now.Sub(w.windowStart) < maxWindowAge {
		return
	}
	w.histogram.Rotate()
	w.inWindow = 0
	w.windowStart = now
}

func (w *Estimator) refresh() {
	w.unrefreshed = 0
	merged := w.histogram.Merge()
	for i, q := range w.quantiles {
		w.values[i] = time.Duration(merged.ValueAtQuantile(q)) * resolution
	}
}

// Samples returns how many latencies were recorded since the start.
func (w *Estimator) Samples() int { return w.samples }

// Value returns the i-th quantile given to New, as of at most refreshSamples samples
// ago; zero while there are too few samples.
func (w *Estimator) Value(i int) time.Duration { return w.values[i] }
