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
			// The daemon keeps running if the reader of its log exits.
			signal.Ignore(syscall.SIGPIPE)
			reloadSignals := make(chan os.Signal, 1)
			signal.Notify(reloadSignals, syscall.SIGHUP)
			logger := rrlog.New(cmd.OutOrStdout())
			defer logger.Close()
			path := os.Getenv(platform.SettingsPathEnv)
			logger.StateChange("starting", "settings", path)
			load := func() (*rrsettings.GatewaySettings, error) { return loadSettings(path, metricsPort) }
			settings, err := load()
			if err != nil {
				return &usageError{err}
			}
			debug.SetGCPercent(platformGCPercent)
			debug.SetMemoryLimit(goMemoryLimit(settings.Memory))
			store := platform.NewStore(settings.StoreAddress)
			defer store.Close()
			node := rrnode.New(settings, rrnode.Platform{
				Store:         store,
				HeaderNames:   platform.Fields(),
				DecodeLimit:   platform.DecodeLimit,
				DecodeNotice:  platform.DecodeNotice,
				ReadinessPath: platform.ReadinessPath,
				ReloadSignals: reloadSignals,
				Reload:        load,
			}, logger)
			return node.Run(cmd.Context())
		},
	}
	cmd.Flags().Uint16Var(&metricsPort, "metrics", 0, "port of the metrics and the state dump (overrides the first port of the settings' port range)")
	return cmd
}

// loadSettings reads the settings file. A metrics port above zero overrides that of the file.
func loadSettings(path string, metricsPort uint16) (*rrsettings.GatewaySettings, error) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if metricsPort > 0 {
		settings.MetricsAddress = netip.AddrPortFrom(settings.CallerAddress.Addr(), metricsPort)
	}
	return settings, nil
}

// platformGCPercent lets the heap grow by half between collections. On the platform,
// memory is scarcer than CPU time. A daemon of a large deployment allocates about
// 2 MB/s with a live heap of up to 20 MB, so it collects every few seconds.
const platformGCPercent = 50

// goMemoryLimit returns the Go runtime's memory limit, in bytes, for a process
// limited to maxMemory. The rest is for stacks, kernel buffers and peaks.
func goMemoryLimit(maxMemory rrunit.Bytes) int64 {
	if maxMemory <= 0 {
		return memoryLimitBytes
	}
	return int64(maxMemory) / 2
}
