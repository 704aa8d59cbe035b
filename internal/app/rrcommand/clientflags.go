package rrcommand

import (
	"cmp"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrclient"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The environment variables of the client.
const (
	operatorsEnv = "RHUBARBREEL_OPERATORS"
	callersEnv   = "RHUBARBREEL_CALLERS"
	configEnv    = "RHUBARBREEL_CONFIG"
)

// outputFormat is a format of the client's output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// clientFlags are the flags that all commands of the client share.
type clientFlags struct {
	config    string
	operators string
	callers   string
	output    string
	timeout   time.Duration
}

// clientSettings is the content of the client's settings file.
type clientSettings struct {
	Operators []string `json:"operators"`
	Callers   []string `json:"callers"`
}

func (f *clientFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.config, "config", "", "the client's settings file, JSON")
	flags.StringVar(&f.operators, "operators", "", "comma-separated operators' addresses of daemons")
	flags.StringVar(&f.callers, "callers", "", "comma-separated callers' addresses of daemons or of their load balancer")
	flags.StringVar(&f.output, "output", string(outputTable), "output format: table or json")
	flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "timeout of a call")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

func (f *clientFlags) settings() (clientSettings, error) {
	var s clientSettings
	path := cmp.Or(f.config, os.Getenv(configEnv))
	if path == "" {
		return s, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return s, &usageError{eris.Wrap(err, "reading the client's settings")}
	}
	if err := rrunit.DecodeStrict(b, &s); err != nil {
		return s, &usageError{eris.Wrapf(err, "client's settings %s", path)}
	}
	return s, nil
}

// operatorClient returns a client of the operators' ports.
func (f *clientFlags) operatorClient() (*rrclient.Client, error) {
	s, err := f.settings()
	if err != nil {
		return nil, err
	}
	return f.newClient("operators", cmp.Or(f.operators, os.Getenv(operatorsEnv)), s.Operators)
}

// callerClient returns a client of the callers' ports.
func (f *clientFlags) callerClient() (*rrclient.Client, error) {
	s, err := f.settings()
	if err != nil {
		return nil, err
	}
	return f.newClient("callers", cmp.Or(f.callers, os.Getenv(callersEnv)), s.Callers)
}

func (f *clientFlags) newClient(key, given string, fallback []string) (*rrclient.Client, error) {
	addresses := fallback
	if given != "" {
		addresses = strings.Split(given, ",")
	}
	if len(addresses) == 0 {
		return nil, newUsageError(key, "no address; give --%s, %s or a settings file", key, "RHUBARBREEL_"+strings.ToUpper(key))
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, newUsageError(key, "%q is not an IP number and a port", a)
		}
	}
	return rrclient.New(addresses, rrclient.WithTimeout(f.timeout)), nil
}

// parseOutput returns the output format that the flag selects.
func (f *clientFlags) parseOutput() (outputFormat, error) {
	switch o := outputFormat(f.output); o {
	case outputTable, outputJSON:
		return o, nil
	default:
		return "", newUsageError("output", "%q is neither table nor json", f.output)
	}
}

func newUsageError(field, format string, args ...any) error {
	return &usageError{rrunit.Invalid(field, format, args...)}
}
