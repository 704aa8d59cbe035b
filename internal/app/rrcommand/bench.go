package rrcommand

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrbench"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxParallelRuns limits the concurrent runs.
const maxParallelRuns = 4

type benchFlags struct {
	client  *clientFlags
	cases   []string
	columns []string
	shapes  []string
	seed    uint64
	delay   time.Duration
}

// newBench returns the command that simulates daemons in virtual time.
func newBench(client *clientFlags) *cobra.Command {
	f := &benchFlags{client: client}
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Simulates daemons under load and faults in virtual time",
		Long: "Runs the decision logic of nine daemons against simulated searchers in virtual time\n" +
			"and prints one table. Figures by rank are listed most urgent first. The same flags\n" +
			"give the same figures on every machine.",
		Example: "  rhubarbreel bench --case calm,busy --shape selkamerkki\n  rhubarbreel bench --output json --seed 7",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.cases, "case", nil, "cases to run; all if empty")
	flags.StringSliceVar(&f.columns, "column", nil, "dispatch policies to compare; all if empty")
	flags.StringSliceVar(&f.shapes, "shape", []string{"selkamerkki", "lakeside"}, "deployments to simulate")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random numbers")
	flags.DurationVar(&f.delay, "delay", 0, "additional delay of the owners' reports")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	format, err := f.client.parseOutput()
	if err != nil {
		return err
	}
	plan, err := f.plan()
	if err != nil {
		return err
	}
	results := runAll(plan)
	if format == outputTable {
		return rrbench.WriteTable(cmd.OutOrStdout(), results)
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return eris.Wrap(err, "writing a result")
		}
	}
	return nil
}

// plan returns the runs in the order of the table.
func (f *benchFlags) plan() ([]rrbench.Options, error) {
	cases, err := f.selectCases()
	if err != nil {
		return nil, err
	}
	columns, err := f.selectColumns()
	if err != nil {
		return nil, err
	}
	var out []rrbench.Options
	for _, name := range f.shapes {
		shape, err := rrbench.NewShape(name)
		if err != nil {
			return nil, err
		}
		for _, c := range cases {
			for _, column := range columns {
				out = append(out, rrbench.Options{
					Case: c, Strategy: column, Shape: shape, Seed: f.seed, ReportDelay: f.delay,
				})
			}
		}
	}
	return out, nil
}

func (f *benchFlags) selectCases() ([]rrbench.Case, error) {
	if len(f.cases) == 0 {
		return rrbench.Cases(), nil
	}
	var out []rrbench.Case
	for _, name := range f.cases {
		c, err := rrbench.FindCase(name)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

func (f *benchFlags) selectColumns() ([]rrbench.Strategy, error) {
	if len(f.columns) == 0 {
		return rrbench.Strategies(), nil
	}
	var out []rrbench.Strategy
	for _, name := range f.columns {
		c := rrbench.Strategy(name)
		if !slices.Contains(rrbench.Strategies(), c) {
			return nil, rrunit.Invalid("column", "%q is not a column", name)
		}
		out = append(out, c)
	}
	return out, nil
}

// runAll executes up to maxParallelRuns runs at once, each with its own virtual time.
func runAll(plan []rrbench.Options) []*rrbench.Result {
	results := make([]*rrbench.Result, len(plan))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i := range plan {
		wg.Go(func() {
			slots <- struct{}{}
			results[i] = rrbench.Run(plan[i])
			<-slots
		})
	}
	wg.Wait()
	return results
}
