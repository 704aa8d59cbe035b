// Package rrslopes measures how the cost of each part of the system grows with its
// size, and fits a line. The control plane of whole fleets runs in virtual time;
// memory and processor time are those of this process.
package rrslopes

import (
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// The sizes that the system is required to support.
const (
	targetMembers   = 2_300
	targetSearchers = 11_000
	targetShards    = 3_700
	targetFanout    = 430
)

// Point is one measurement.
type Point struct {
	// X is the size, Y the cost.
	X, Y float64
}

// Slope is a series of measurements of a cost against a size.
type Slope struct {
	// Name names the cost, Unit its unit, and Per what X counts.
	Name, Unit, Per string
	Points          []Point
	// Target is the size that the system is required to support.
	Target float64
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope, Intercept float64
	// Residual is the root mean square distance from the line, as a share of the
	// largest cost.
	Residual float64
}

// Fit fits a line. It needs points of at least two different sizes.
func (s *Slope) Fit() Fit {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, high float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		high = max(high, math.Abs(p.Y))
	}
	f := Fit{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	f.Intercept = (sy - f.Slope*sx) / n
	square := 0.0
	for _, p := range s.Points {
		d := p.Y - f.Intercept - f.Slope*p.X
		square += d * d
	}
	if high > 0 {
		f.Residual = math.Sqrt(square/n) / high
	}
	return f
}

// Print writes the name, the points and the fit.
func (s *Slope) Print(w io.Writer) error {
	f := s.Fit()
	if _, err := fmt.Fprintf(w, "%s, %s per %s\n", s.Name, s.Unit, s.Per); err != nil {
		return eris.Wrap(err, "printing a slope")
	}
	for _, p := range s.Points {
		if _, err := fmt.Fprintf(w, "  %10.6g %14.6g\n", p.X, p.Y); err != nil {
			return eris.Wrap(err, "printing a slope")
		}
	}
	_, err := fmt.Fprintf(w, "  fit: %.5g + %.5g x, residual %.2g%%; at %g: %.5g\n\n",
		f.Intercept, f.Slope, 100*f.Residual, s.Target, f.Intercept+f.Slope*s.Target)
	return eris.Wrap(err, "printing a slope")
}

// part is a group of slopes that are measured together.
type part struct {
	name    string
	measure func() ([]Slope, error)
}

func parts() []part {
	return []part{
		{"spread", spreadSlopes},
		{"definition", definitionSlopes},
		{"members", memberSlopes},
		{"links", linkSlopes},
		{"owners", ownerSlopes},
		{"merge", mergeSlopes},
	}
}

// scenarioPart is the name of the part that runs whole fleets through failures.
const scenarioPart = "failures"

// Parts returns the names of what Run measures.
func Parts() []string {
	var out []string
	for _, p := range parts() {
		out = append(out, p.name)
	}
	return append(out, scenarioPart)
}

// Run measures and prints the slopes of the named parts, or of all without names.
func Run(w io.Writer, names ...string) error {
	if len(names) == 0 {
		names = Parts()
	}
	for _, p := range parts() {
		if !slices.Contains(names, p.name) {
			continue
		}
		slopes, err := p.measure()
		if err != nil {
			return err
		}
		for i := range slopes {
			if err := slopes[i].Print(w); err != nil {
				return err
			}
		}
	}
	if slices.Contains(names, scenarioPart) {
		if err := printScenarios(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "processor time per subquery in each role: by BenchmarkLive, from running daemons")
	return eris.Wrap(err, "printing the slopes")
}
