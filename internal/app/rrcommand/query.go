package rrcommand

import (
	"encoding/json"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// queryFlags are the flags of the command query.
type queryFlags struct {
	*clientFlags
	service       string
	rank          string
	caller        string
	id            string
	key           string
	limit         int
	deadline      time.Duration
	nonIdempotent bool
}

func newQuery(c *clientFlags) *cobra.Command {
	f := &queryFlags{clientFlags: c}
	cmd := &cobra.Command{
		Use:   "query BODY",
		Short: "Sends one query and prints its answer",
		Long: "Sends one query and prints its answer. BODY is the JSON that the searchers get, or\n" +
			"@FILE. The exit code is 0 for a complete answer and 4 for a partial one.",
		Example: "  rhubarbreel query '{\"terms\":\"84.2\"}' --service luettelo --rank title --callers 10.0.0.1:8100\n" +
			"  rhubarbreel query '{\"label\":7}' --service painojono --caller press-3 --once",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.service, "service", "", "service to query")
	flags.StringVar(&f.rank, "rank", "", "rank of the query; the least urgent if not given")
	flags.StringVar(&f.caller, "caller", "", "name of the caller")
	flags.StringVar(&f.id, "id", "", "id of the request, to send it again; a UUIDv7 with --once")
	flags.StringVar(&f.key, "key", "", "key of the one shard to query; all shards if not given")
	flags.IntVar(&f.limit, "limit", 0, "maximum number of hits in the answer")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline of the query; the rank's if not given")
	flags.BoolVar(&f.nonIdempotent, "once", false, "the request is non-idempotent and runs at most once")
	return cmd
}

func (f *queryFlags) query(cmd *cobra.Command, arg string) (*rrquery.Query, error) {
	body := []byte(arg)
	if path, ok := strings.CutPrefix(arg, "@"); ok {
		var err error
		if body, err = readFile(cmd, path); err != nil {
			return nil, err
		}
	}
	if !json.Valid(body) {
		return nil, newUsageError("body", "is not JSON")
	}
	if f.nonIdempotent && f.id == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, eris.Wrap(err, "generating a request id")
		}
		f.id = id.String()
	}
	q := &rrquery.Query{
		Service:  rrunit.ServiceName(f.service),
		Rank:     rrunit.RankName(f.rank),
		Caller:   rrunit.CallerID(f.caller),
		ID:       rrunit.RequestID(f.id),
		Key:      f.key,
		Limit:    f.limit,
		Deadline: rrunit.Duration(f.deadline),
		Body:     body,
	}
	if f.nonIdempotent {
		q.Idempotent = new(bool)
	}
	return q, nil
}

func (f *queryFlags) run(cmd *cobra.Command, arg string) error {
	q, err := f.query(cmd, arg)
	if err != nil {
		return err
	}
	c, err := f.callerClient()
	if err != nil {
		return err
	}
	a, err := c.Query(cmd.Context(), q)
	if err != nil {
		if !q.IsIdempotent() {
			return eris.Wrapf(err, "request %s may have run; send it again with --id", q.ID)
		}
		return err
	}
	if err := f.print(cmd, a, func(w *tabwriter.Writer) { answerTable(w, a) }); err != nil {
		return err
	}
	return answerError(a)
}

func answerTable(w *tabwriter.Writer, a *rrquery.Answer) {
	writeRow(w, "OUTCOME", "SNAPSHOT", "DEFINITION", "COVERED", "MISSING", "HITS")
	snapshot := "-"
	if !a.Snapshot.IsZero() {
		snapshot = string(a.Snapshot.Layout) + "@" + toJSON(a.Snapshot.Version)
	}
	writeRow(w, a.Outcome, snapshot, a.Definition, len(a.Covered), len(a.Missing), len(a.Hits))
	if len(a.Missing) > 0 {
		writeRow(w)
		writeRow(w, "MISSING", "REASON")
		for _, m := range a.Missing {
			writeRow(w, m.Shard, m.Reason)
		}
	}
	if len(a.Hits) > 0 {
		writeRow(w)
		writeRow(w, "HIT", "SCORE", "BODY")
		for _, h := range a.Hits {
			writeRow(w, h.ID, h.Score, string(h.Body))
		}
	}
}

func toJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(b)
}

// answerError returns the error for the outcome of an answer, nil if it is complete.
func answerError(a *rrquery.Answer) error {
	switch a.Outcome {
	case rrquery.OutcomeComplete:
		return nil
	case rrquery.OutcomePartial:
		return &exitError{ExitPartial, eris.Errorf("partial: %d of %d shards are missing", len(a.Missing), len(a.Missing)+len(a.Covered))}
	case rrquery.OutcomeRefused:
		return eris.Errorf("refused and not run (%s); retry after %s", a.Reason, a.RetryAfter)
	case rrquery.OutcomeUnknown:
		return eris.Errorf("unknown whether request %s ran; it will not run again", a.ID)
	default:
		return eris.Errorf("%s (%s); it may have run", a.Outcome, a.Reason)
	}
}
