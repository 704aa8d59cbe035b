package rrcommand

import (
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
)

// NewDaemon returns the command line of the daemon.
func NewDaemon() *cobra.Command {
	f := &daemonFlags{}
	cmd := &cobra.Command{
		Use:     "rhubarbreeld --config FILE",
		Short:   "Answers queries over many shards",
		Example: "  rhubarbreeld --config /etc/rhubarbreel/a1.json\n  rhubarbreeld check --config a1.json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.register(cmd)
	check := &cobra.Command{
		Use:     "check --config FILE",
		Short:   "Checks the settings and exits",
		Example: "  rhubarbreeld check --config a1.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := f.settings(cmd); err != nil {
				return err
			}
			cmd.Println("the settings are valid")
			return nil
		},
	}
	cmd.AddCommand(check, newPlatformCommand())
	return cmd
}

type daemonFlags struct {
	config    string
	verbose   bool
	overrides rrsettings.Settings
}

func (f *daemonFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.config, "config", "", "the settings file, JSON")
	flags.BoolVar(&f.verbose, "verbose", false, "also log details")
	flags.StringVar((*string)(&f.overrides.Instance), "instance", "", "name of this instance (overrides the file)")
	flags.StringVar((*string)(&f.overrides.Zone), "zone", "", "availability zone (overrides the file)")
	flags.StringVar((*string)(&f.overrides.Region), "region", "", "region (overrides the file)")
	flags.StringVar(&f.overrides.CallerAddress, "callers", "", "address for callers (overrides the file)")
	flags.StringVar(&f.overrides.OperatorAddress, "operators", "", "address for operators (overrides the file)")
	flags.StringVar(&f.overrides.PeerAddress, "peers", "", "address for other daemons (overrides the file)")
	flags.StringVar(&f.overrides.PlatformURL, "platform", "", "URL of the platform (overrides the file)")
}

func (f *daemonFlags) settings(cmd *cobra.Command) (rrsettings.Settings, error) {
	s := rrsettings.Default()
	if f.config != "" {
		var err error
		if s, err = rrsettings.Load(f.config); err != nil {
			return s, &usageError{err}
		}
	}
	f.applyOverrides(cmd, &s)
	if err := s.Check(); err != nil {
		return s, &usageError{err}
	}
	return s, nil
}

func (f *daemonFlags) applyOverrides(cmd *cobra.Command, s *rrsettings.Settings) {
	for name, set := range map[string]func(){
		"instance":  func() { s.Instance = f.overrides.Instance },
		"zone":      func() { s.Zone = f.overrides.Zone },
		"region":    func() { s.Region = f.overrides.Region },
		"callers":   func() { s.CallerAddress = f.overrides.CallerAddress },
		"operators": func() { s.OperatorAddress = f.overrides.OperatorAddress },
		"peers":     func() { s.PeerAddress = f.overrides.PeerAddress },
		"platform":  func() { s.PlatformURL = f.overrides.PlatformURL },
	} {
		if cmd.Flags().Changed(name) {
			set()
		}
	}
}

// Settings of the garbage collector, which trade memory for CPU time: a daemon's
// live heap is small, and most allocations live as long as one request.
const (
	gcPercent        = 400
	memoryLimitBytes = 512 << 20
)

func (f *daemonFlags) run(cmd *cobra.Command) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	s, err := f.settings(cmd)
	if err != nil {
		return err
	}
	level := log.InfoLevel
	if f.verbose {
		level = log.DebugLevel
	}
	d, err := rrdaemon.New(s, newLogger(cmd.ErrOrStderr(), level))
	if err != nil {
		return err
	}
	return d.Run(cmd.Context())
}
