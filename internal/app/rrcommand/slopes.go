package rrcommand

import (
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrslopes"
)

// newSlopes returns the command that measures how costs grow with the size of a
// deployment.
func newSlopes() *cobra.Command {
	return &cobra.Command{
		Use:     "slopes [PART]...",
		Short:   "Measures how costs grow with the size of a deployment, on this machine",
		Example: "  rhubarbreel slopes\n  rhubarbreel slopes owners merge",
		Args:    cobra.OnlyValidArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			return rrslopes.Run(cmd.OutOrStdout(), args...)
		},
		ValidArgs: rrslopes.Parts(),
	}
}
