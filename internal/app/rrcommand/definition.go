package rrcommand

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
)

func newDefinition(f *clientFlags) *cobra.Command {
	cmd := commandGroup(&cobra.Command{
		Use:   "definition",
		Short: "Reads and patches the definition of the deployment",
	})
	cmd.AddCommand(newDefinitionGet(f))
	cmd.AddCommand(newDefinitionInit(f))
	cmd.AddCommand(newDefinitionPatch(f))
	cmd.AddCommand(newDefinitionStatus(f))
	cmd.AddCommand(newDefinitionCheck(f))
	return cmd
}

func newDefinitionGet(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Prints the definition that an instance uses",
		Example: "  rhubarbreel definition get --output json > definition.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.operatorClient()
			if err != nil {
				return err
			}
			b, err := c.Definition(cmd.Context())
			if err != nil {
				return err
			}
			def, err := rrdefinition.Decode(b)
			if err != nil {
				return err
			}
			return f.print(cmd, def, func(w *tabwriter.Writer) { definitionTable(w, def) })
		},
	}
}

func definitionTable(w *tabwriter.Writer, def *rrdefinition.Definition) {
	writeRow(w, "NUMBER", def.Number)
	writeRow(w)
	writeRow(w, "RANK", "TARGET", "FLOOR", "DEADLINE", "LONGEST")
	for _, r := range def.Ranks {
		writeRow(w, r.Name, r.LatencyTarget, r.Floor, r.DefaultDeadline, r.MaxDeadline)
	}
	writeRow(w)
	writeRow(w, "SERVICE", "LAYOUT", "SHARDS", "SEARCHERS")
	for i := range def.Services {
		for _, l := range def.Services[i].Layouts {
			searchers := 0
			for j := range l.Shards {
				searchers += len(l.Shards[j].Searchers)
			}
			writeRow(w, def.Services[i].Name, l.Name, len(l.Shards), searchers)
		}
	}
}

func newDefinitionCheck(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Checks a file that holds a complete definition, without any daemon",
		Example: "  rhubarbreel definition check definition.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			def, err := readDefinition(cmd, args[0])
			if err != nil {
				return err
			}
			return f.print(cmd, def, func(w *tabwriter.Writer) { definitionTable(w, def) })
		},
	}
}

// readFile reads a file, or standard input if path is "-".
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		b, err := io.ReadAll(cmd.InOrStdin())
		return b, eris.Wrap(err, "reading standard input")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{eris.Wrap(err, "reading the file")}
	}
	return b, nil
}

func readDefinition(cmd *cobra.Command, path string) (*rrdefinition.Definition, error) {
	b, err := readFile(cmd, path)
	if err != nil {
		return nil, err
	}
	def, err := rrdefinition.Decode(b)
	if err != nil {
		return nil, &usageError{eris.Wrapf(err, "%s", path)}
	}
	return def, nil
}

// initialPatch returns the patch that creates the first definition.
func initialPatch(def *rrdefinition.Definition) (json.RawMessage, error) {
	type content struct {
		Ranks    []rrdefinition.Rank    `json:"ranks"`
		Limits   rrdefinition.Limits    `json:"limits"`
		Services []rrdefinition.Service `json:"services"`
	}
	type operation struct {
		Op    string  `json:"op"`
		Path  string  `json:"path"`
		Value content `json:"value"`
	}
	value := content{Ranks: def.Ranks, Limits: def.Limits, Services: def.Services}
	b, err := json.Marshal([]operation{{Op: "add", Value: value}})
	return b, eris.Wrap(err, "encoding the definition")
}

func newDefinitionInit(f *clientFlags) *cobra.Command {
	var change string
	cmd := &cobra.Command{
		Use:   "init FILE",
		Short: "Creates definition 1 from a file, if there is none yet",
		Long: "Creates definition 1 from a file that holds a complete definition. Its number and\n" +
			"changes are ignored. If there is a definition already, nothing changes and the\n" +
			"exit code is 3.",
		Example: "  rhubarbreel definition init selkamerkki.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			def, err := readDefinition(cmd, args[0])
			if err != nil {
				return err
			}
			patch, err := initialPatch(def)
			if err != nil {
				return err
			}
			return f.submit(cmd, 0, change, patch)
		},
	}
	cmd.Flags().StringVar(&change, "change", "", "UUID of the change, to send it again")
	return cmd
}

func newDefinitionPatch(f *clientFlags) *cobra.Command {
	var base uint64
	var change string
	cmd := &cobra.Command{
		Use:   "patch FILE --base N",
		Short: "Submits a JSON Patch against definition N",
		Long: "Submits a JSON Patch (RFC 6902) against definition number N; the file - is standard\n" +
			"input. The complete result is checked before it is stored. If another number is in\n" +
			"force, nothing changes, the number is shown and the exit code is 3. If the answer\n" +
			"to a submission is lost, submit it again with the same --change; it is never\n" +
			"applied twice.",
		Example: "  rhubarbreel definition patch floors.json --base 7\n" +
			"  echo '[{\"op\":\"replace\",\"path\":\"/limits/hits\",\"value\":50}]' | rhubarbreel definition patch - --base 7",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return newUsageError("base", "is missing; give --base N, the number that the patch was written for")
			}
			patch, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			return f.submit(cmd, rrunit.DefinitionNumber(base), change, patch)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "number of the definition that the patch was written for")
	cmd.Flags().StringVar(&change, "change", "", "UUID of the change, to send it again")
	return cmd
}

// submit submits a change and prints its outcome.
func (f *clientFlags) submit(cmd *cobra.Command, base rrunit.DefinitionNumber, change string, patch []byte) error {
	if !json.Valid(patch) {
		return newUsageError("patch", "is not JSON")
	}
	c, err := f.operatorClient()
	if err != nil {
		return err
	}
	if change == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return eris.Wrap(err, "generating a change id")
		}
		change = id.String()
	}
	p, err := c.Patch(cmd.Context(), &rrpatch.Submission{Base: base, Change: rrunit.ChangeID(change), Patch: patch})
	if err != nil {
		return eris.Wrapf(err, "no answer, the change may have taken effect; send it again with --change %s", change)
	}
	if err := f.print(cmd, p, func(w *tabwriter.Writer) { patchTable(w, p) }); err != nil {
		return err
	}
	return patchError(p)
}

func patchTable(w *tabwriter.Writer, p *rrhttp.PatchResponse) {
	writeRow(w, "OUTCOME", "NUMBER", "CHANGE")
	writeRow(w, p.Outcome, p.Number, p.Change)
}

// patchError returns the error for the outcome of a patch, nil if the change is in
// the definition.
func patchError(p *rrhttp.PatchResponse) error {
	switch p.Outcome {
	case rrpatch.OutcomeAccepted, rrpatch.OutcomeRepeated:
		return nil
	case rrpatch.OutcomeConflict:
		return &exitError{ExitConflict, eris.Errorf("conflict: number %d is in force; nothing changed", p.Number)}
	case rrpatch.OutcomeInvalid:
		return &usageError{eris.Errorf("nothing changed: %s", p.Error)}
	}
	if p.Uncertain {
		return eris.Errorf("the change may have taken effect; send it again with --change %s: %s", p.Change, p.Error)
	}
	return eris.Errorf("nothing changed, the store is down; send it again with --change %s: %s", p.Change, p.Error)
}

func newDefinitionStatus(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Shows which number all instances have applied, and which instances lag",
		Example: "  rhubarbreel definition status --operators 10.0.0.1:8101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.operatorClient()
			if err != nil {
				return err
			}
			s, err := c.Status(cmd.Context())
			if err != nil {
				return err
			}
			return f.print(cmd, s, func(w *tabwriter.Writer) { statusTable(w, s) })
		},
	}
}

func statusTable(w *tabwriter.Writer, s *rrmember.Status) {
	writeRow(w, "IN FORCE", "NEWEST", "INSTANCES", "LAGGING")
	writeRow(w, s.Converged, s.Newest, s.Members, len(s.Lagging))
	if len(s.Lagging) == 0 {
		return
	}
	writeRow(w)
	writeRow(w, "INSTANCE", "NUMBER", "WAITED FOR")
	for _, l := range s.Lagging {
		writeRow(w, l.Instance, l.Number, l.Age)
	}
}
