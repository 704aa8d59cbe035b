package rrcommand

import (
	"github.com/spf13/cobra"
)

// NewClient returns the command line of the operators' client.
func NewClient() *cobra.Command {
	f := &clientFlags{}
	cmd := commandGroup(&cobra.Command{
		Use:   "rhubarbreel",
		Short: "Operates a deployment of rhubarbreel",
		Long:  clientHelp,
		Example: "  rhubarbreel demo\n" +
			"  rhubarbreel --operators 10.0.0.1:8101,10.0.0.2:8101 definition status\n" +
			"  rhubarbreel completion bash",
	})
	f.register(cmd)
	cmd.AddCommand(newBench(f))
	cmd.AddCommand(newDemo())
	cmd.AddCommand(newDefinition(f))
	cmd.AddCommand(newQuery(f))
	cmd.AddCommand(newDump(f))
	cmd.AddCommand(newExplain())
	cmd.AddCommand(newSlopes())
	return cmd
}

const clientHelp = `Operates a deployment of rhubarbreel: submits patches of its definition, shows
which number is in force, sends queries and shows the state of instances.

Addresses are taken from the flags, else from the environment
(RHUBARBREEL_OPERATORS, RHUBARBREEL_CALLERS), else from the file that --config
or RHUBARBREEL_CONFIG names: {"operators": ["10.0.0.1:8101"], "callers": []}.

Exit codes:
  0  success
  1  failed, refused or not answered
  2  invalid arguments, settings, patch or query; nothing was run or changed
  3  conflict: the definition has another number than the patch's base
  4  partial answer: some shards are missing`

// commandGroup configures a command that has only subcommands: without one it
// prints its help, and an unknown one is an error.
func commandGroup(cmd *cobra.Command) *cobra.Command {
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	return cmd
}
