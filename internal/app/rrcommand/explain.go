package rrcommand

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/app/rrexplain"
)

// newExplain returns the command that explains a request's result from the daemons'
// logs.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID",
		Short:   "Explains a request's result from log lines",
		Long:    "Reads the log lines of daemons from standard input, finds those of the request and\nof its daemon's state changes shortly before, and prints the cause of the request's\nresult (docs/OPERATIONS.md).",
		Example: "  rhubarbreel explain 476aa90d4140a3b1 < daemons.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := rrexplain.Read(cmd.InOrStdin())
			if err != nil {
				return err
			}
			r := rrexplain.Explain(lines, args[0])
			if len(r.Steps) == 0 {
				return eris.Errorf("no log line about request %s", args[0])
			}
			return r.Write(cmd.OutOrStdout())
		},
	}
}
