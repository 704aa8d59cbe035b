package rrcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// print writes v as JSON or, with the function table, as a table.
func (f *clientFlags) print(cmd *cobra.Command, v any, table func(w *tabwriter.Writer)) error {
	format, err := f.parseOutput()
	if err != nil {
		return err
	}
	if format == outputJSON {
		return printJSON(cmd, v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	table(w)
	return eris.Wrap(w.Flush(), "writing the output")
}

func printJSON(cmd *cobra.Command, v any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(v), "writing the output")
}

// writeRow writes one row of a table.
func writeRow(w *tabwriter.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(text, "\t"))
}

// flatten writes each scalar value of a JSON document in a row with its path.
func flatten(w *tabwriter.Writer, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			flatten(w, strings.TrimPrefix(path+"."+k, "."), v[k])
		}
	case []any:
		for i, e := range v {
			flatten(w, fmt.Sprintf("%s[%d]", path, i), e)
		}
	default:
		writeRow(w, path, v)
	}
}

// decodeAny decodes JSON without converting numbers.
func decodeAny(b []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	var v any
	return v, eris.Wrap(dec.Decode(&v), "decoding the response")
}
