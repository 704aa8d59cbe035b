// Package rrexample holds the definitions of the first two users' deployments for
// tests, benchmarks and the demo. docs/operators/examples.md describes how the
// definitions were derived from the users' descriptions.
package rrexample

import (
	_ "embed" // embeds the definitions

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
)

//go:embed selkamerkki.json
var selkamerkki []byte

//go:embed lakeside.json
var lakeside []byte

// Selkamerkki returns the definition of Selkämerkki Osuuskunta.
func Selkamerkki() (*rrdefinition.Definition, error) {
	d, err := rrdefinition.Decode(selkamerkki)
	return d, eris.Wrap(err, "decoding the example selkamerkki")
}

// Lakeside returns the definition of Lakeside Paddle Holdings.
func Lakeside() (*rrdefinition.Definition, error) {
	d, err := rrdefinition.Decode(lakeside)
	return d, eris.Wrap(err, "decoding the example lakeside")
}
