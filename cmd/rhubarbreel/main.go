// Command rhubarbreel is the operators' client of rhubarbreel.
package main

import (
	"os"

	"rhubarbreel.example/rhubarbreel/internal/app/rrcommand"
)

func main() {
	os.Exit(rrcommand.Main(rrcommand.NewClient()))
}
