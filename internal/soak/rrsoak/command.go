package rrsoak

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
)

// NewCommand returns the command line of the soak.
func NewCommand() *cobra.Command {
	cfg := Config{Size: SizeSmall}
	var size string
	cmd := &cobra.Command{
		Use:     "rhubarbreelsoak",
		Short:   "Injects random faults from a seed into built daemons and checks their promises",
		Example: "  rhubarbreelsoak --seed 7 --for 60s\n  rhubarbreelsoak --seed 7 --for 60s --only 3,8",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Size, cfg.Out = Size(size), cmd.OutOrStdout()
			var err error
			if cfg.Dir, err = os.MkdirTemp("", "rhubarbreelsoak"); err != nil {
				return eris.Wrap(err, "creating the directory of the run")
			}
			if cfg.StandinsPath, err = os.Executable(); err != nil {
				return eris.Wrap(err, "finding the executable of the soak")
			}
			if cfg.DaemonPath == "" {
				if cfg.DaemonPath, err = rrfleet.Build(cmd.Context(), cfg.Dir, "rhubarbreeld"); err != nil {
					return err
				}
			}
			violations, err := Run(cmd.Context(), cfg)
			switch {
			case err != nil:
				return err
			case len(violations) > 0:
				return eris.Errorf("seed %d: %d promises broken", cfg.Seed, len(violations))
			case cfg.KeepLogs:
				return nil
			}
			return eris.Wrap(os.RemoveAll(cfg.Dir), "removing the directory of the run")
		},
	}
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of the random plan")
	cmd.Flags().DurationVar(&cfg.Duration, "for", time.Minute, "duration of the run")
	cmd.Flags().StringVar(&size, "fleet", string(SizeSmall), "size of the fleet: small or large")
	cmd.Flags().IntSliceVar(&cfg.OnlyEvents, "only", nil, "numbers of the events to inject; all if empty")
	cmd.Flags().IntVar(&cfg.LastEvent, "until", 0, "number of the last event to inject; 0 for no limit")
	cmd.Flags().BoolVar(&cfg.KeepLogs, "keep", false, "keep the logs also if no promise is broken")
	cmd.Flags().StringVar(&cfg.DaemonPath, "daemon", "", "path of the daemon executable; built if empty")
	cmd.AddCommand(newStoreCommand(), newSearcherCommand())
	return cmd
}
