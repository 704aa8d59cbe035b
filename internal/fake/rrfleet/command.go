package rrfleet

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

// NewCommand returns the rhubarbreelfake command.
func NewCommand() *cobra.Command {
	var platform, definition string
	var latency time.Duration
	cmd := &cobra.Command{
		Use:   "rhubarbreelfake --platform ADDRESS --definition FILE",
		Short: "Runs stand-ins for the platform and for every searcher of a definition",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b, err := os.ReadFile(definition)
			if err != nil {
				return eris.Wrap(err, "reading the definition")
			}
			def, err := rrdefinition.Decode(b)
			if err != nil {
				return err
			}
			behave := rrsearcherfake.Behaviour{Versions: []rrunit.IndexVersion{1}, Latency: latency}
			f, err := Start(cmd.Context(), platform, def, behave)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			return f.Close()
		},
	}
	cmd.Flags().StringVar(&platform, "platform", "127.0.0.1:9000", "address of the stand-in for the platform")
	cmd.Flags().StringVar(&definition, "definition", "", "path of the definition, a JSON file")
	cmd.Flags().DurationVar(&latency, "latency", 2*time.Millisecond, "median duration of a subquery")
	return cmd
}
