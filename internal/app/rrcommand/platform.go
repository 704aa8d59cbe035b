package rrcommand

import (
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrnode"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/platform"
)

// newPlatformCommand returns the command that serves callers' routes on the
// users' platform.
func newPlatformCommand() *cobra.Command {
	var metricsPort uint16
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Serves callers' routes on the users' platform",
		Long:    "Serves callers' routes on the users' platform, whose settings file the variable " + platform.SettingsPathEnv + " names.",
		Example: "  " + platform.SettingsPathEnv + "=/etc/rhubarbreel/local.toml rhubarbreeld platform",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// A reader of the log that ends is no reason to end the daemon.
			signal.Ignore(syscall.SIGPIPE)
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			logger := rrlog.New(cmd.OutOrStdout())
			defer logger.Close()
			path := os.Getenv(platform.SettingsPathEnv)
			logger.Belief("starting", "settings", path)
			site, err := platform.LoadSettings(path)
			if err != nil {
				return &usageError{err}
			}
			if metricsPort > 0 {
				site.Metrics = netip.AddrPortFrom(site.Callers.Addr(), metricsPort)
			}
			debug.SetGCPercent(platformGCPercent)
			debug.SetMemoryLimit(memoryLimitOf(site.Memory))
			store := platform.NewStore(site.Platform)
			defer store.Close()
			node := rrnode.New(site, rrnode.Platform{
				Store:     store,
				Fields:    platform.Fields(),
				ReadyPath: platform.ReadinessPath,
				Hangups:   hangups,
				Reload:    func() (*rrsettings.Site, error) { return platform.LoadSettings(path) },
			}, logger)
			return node.Run(cmd.Context())
		},
	}
	cmd.Flags().Uint16Var(&metricsPort, "metrics", 0, "port of the metrics and the state dump, over the settings' first free one")
	return cmd
}

// platformGCPercent lets the heap grow by half. On the platform memory is dearer than
// processor time, and a daemon of a large fleet allocates some 2 MB/s over a live
// heap of up to 20 MB: a collection every few seconds.
const platformGCPercent = 50

// memoryLimitOf returns the limit of the garbage collector for a process that
// may take so much: the rest is for stacks, buffers of the kernel and peaks.
func memoryLimitOf(most rrunit.Bytes) int64 {
	if most <= 0 {
		return memoryLimit
	}
	return int64(most) / 2
}
