package rrcommand

import (
	"io"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdemo"
)

func newDemo() *cobra.Command {
	deployment := string(rrdemo.DeploymentSelkamerkki)
	verbose := false
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Runs a demo deployment in this process for half a minute",
		Long: "Runs a fake platform, fake searchers, three daemons and callers of every\n" +
			"rank in this process, on free loopback ports. Meanwhile one searcher crashes\n" +
			"and patches are submitted. It ends within 30 seconds, with exit code 0 if all\n" +
			"checks passed.",
		Example: "  rhubarbreel demo\n  rhubarbreel demo --deployment lakeside --verbose",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := rrdemo.Deployment(deployment)
			if d != rrdemo.DeploymentSelkamerkki && d != rrdemo.DeploymentLakeside {
				return newUsageError("deployment", "%q is neither selkamerkki nor lakeside", deployment)
			}
			logs := io.Discard
			if verbose {
				logs = cmd.ErrOrStderr()
			}
			return rrdemo.Run(cmd.Context(), d, cmd.OutOrStdout(), newLogger(logs, log.InfoLevel))
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", deployment, "example deployment: selkamerkki or lakeside")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "show the logs of the daemons")
	_ = cmd.RegisterFlagCompletionFunc("deployment",
		cobra.FixedCompletions([]string{"selkamerkki", "lakeside"}, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}
