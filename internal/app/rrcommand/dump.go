package rrcommand

import (
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func newDump(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "dump INSTANCE",
		Short: "Shows the state of one instance",
		Long: "Shows the state of one instance: its definition number, members, owned shards with\n" +
			"their queues by rank, slots and connections of searchers, quarantines and claims.\n" +
			"The operators' addresses are tried in turn until the instance is found.",
		Example: "  rhubarbreel dump a1 --operators 10.0.0.1:8101,10.0.0.2:8101 --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.operatorClient()
			if err != nil {
				return err
			}
			b, err := c.Dump(cmd.Context(), rrunit.InstanceID(args[0]))
			if err != nil {
				return err
			}
			v, err := decodeAny(b)
			if err != nil {
				return err
			}
			return f.print(cmd, v, func(w *tabwriter.Writer) { flatten(w, "", v) })
		},
	}
}
