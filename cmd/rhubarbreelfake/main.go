// Command rhubarbreelfake runs the fake platform and the fake searchers in a
// separate process, for tests and experiments.
package main

import (
	"os"

	"rhubarbreel.example/rhubarbreel/internal/app/rrcommand"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
)

func main() {
	os.Exit(rrcommand.Main(rrfleet.NewCommand()))
}
