// Command rhubarbreelsoak injects faults into running daemons and checks their
// guarantees.
package main

import (
	"os"

	"rhubarbreel.example/rhubarbreel/internal/app/rrcommand"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrsoak"
)

func main() {
	os.Exit(rrcommand.Main(rrsoak.NewCommand()))
}
