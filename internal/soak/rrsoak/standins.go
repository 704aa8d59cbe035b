package rrsoak

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// headerTimeout bounds how long the stand-ins wait for a request's head.
const headerTimeout = 10 * time.Second

// One in slowOne requests takes slowWork, so that faults meet requests that are
// under way.
const (
	slowOne  = 8
	slowWork = 200 * time.Millisecond
)

func newStoreCommand() *cobra.Command {
	var address, operator string
	cmd := &cobra.Command{
		Use:    "store",
		Short:  "Runs a stand-in of the platform's store",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := standin.NewStore()
			group, ctx := errgroup.WithContext(cmd.Context())
			for a, h := range map[string]http.Handler{address: s.Handler(), operator: s.ControlHandler()} {
				var lc net.ListenConfig
				l, err := lc.Listen(ctx, "tcp4", a)
				if err != nil {
					return eris.Wrapf(err, "listening on %s", a)
				}
				srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
				group.Go(func() error { return srv.Serve(l) })
			}
			return group.Wait()
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "where the daemons call it")
	cmd.Flags().StringVar(&operator, "operator", "", "where it is told what to do")
	return cmd
}

func newSearcherCommand() *cobra.Command {
	var id, service, address string
	var work time.Duration
	var slots int
	cmd := &cobra.Command{
		Use:    "searcher",
		Short:  "Runs a stand-in of a searcher, which prints each request as a line of JSON",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// A line is out before its request runs: one that is killed has told
			// all that it ran.
			out := json.NewEncoder(cmd.OutOrStdout())
			seen := make(chan standin.RequestEvent)
			told := make(chan struct{})
			go func() {
				for s := range seen {
					_ = out.Encode(s)
					told <- struct{}{}
				}
			}()
			_, err := standin.NewSearcher(id, service, work, slots, standin.WithAddress(address), standin.WithSlow(slowOne, slowWork),
				standin.WithObserver(func(s standin.RequestEvent) {
					seen <- s
					<-told
				}))
			if err != nil {
				return eris.Wrap(err, "starting the searcher")
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "name of the searcher")
	cmd.Flags().StringVar(&service, "service", "", "service of the searcher")
	cmd.Flags().StringVar(&address, "address", "", "where it listens")
	cmd.Flags().DurationVar(&work, "work", 3*time.Millisecond, "how long a request takes")
	cmd.Flags().IntVar(&slots, "slots", 8, "how many requests it runs at once")
	return cmd
}
