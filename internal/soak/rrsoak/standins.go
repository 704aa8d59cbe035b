package rrsoak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// headerTimeout bounds how long the stand-ins wait for a request's header.
const headerTimeout = 10 * time.Second

// One in slowOneIn requests takes slowServiceTime, so that faults hit requests in
// progress.
const (
	slowOneIn       = 8
	slowServiceTime = 200 * time.Millisecond
)

func newStoreCommand() *cobra.Command {
	var address, controlAddress string
	cmd := &cobra.Command{
		Use:    "store",
		Short:  "Runs a stand-in of the platform's store",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := standin.NewStore()
			group, ctx := errgroup.WithContext(cmd.Context())
			for a, h := range map[string]http.Handler{address: s.Handler(), controlAddress: s.ControlHandler()} {
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
	cmd.Flags().StringVar(&address, "address", "", "address that serves the daemons")
	cmd.Flags().StringVar(&controlAddress, "operator", "", "address that serves the soak's control requests")
	return cmd
}

// The signals by which a searcher begins and ends to name its request limit.
const (
	signalLimit   = syscall.SIGUSR1
	signalNoLimit = syscall.SIGUSR2
)

// nameLimits makes the searcher name its request limit as the signals say, until ctx ends.
func nameLimits(ctx context.Context, s *standin.Searcher, signals <-chan os.Signal) {
	for {
		select {
		case got := <-signals:
			limit := ""
			if got == signalLimit {
				limit = strconv.Itoa(requestLimit)
			}
			s.SetRequestLimit(limit)
		case <-ctx.Done():
			return
		}
	}
}

func newSearcherCommand() *cobra.Command {
	var id, service, address string
	var serviceTime time.Duration
	var slots int
	cmd := &cobra.Command{
		Use:    "searcher",
		Short:  "Runs a stand-in of a searcher, which prints each request as a line of JSON",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, signalLimit, signalNoLimit)
			// A request's line is written before the request is executed, so that
			// a killed searcher has reported all that it executed.
			out := json.NewEncoder(cmd.OutOrStdout())
			events := make(chan standin.RequestEvent)
			written := make(chan struct{})
			go func() {
				for e := range events {
					_ = out.Encode(e)
					written <- struct{}{}
				}
			}()
			s, err := standin.NewSearcher(id, service, serviceTime, slots, standin.WithAddress(address), standin.WithSlow(slowOneIn, slowServiceTime),
				standin.WithObserver(func(e standin.RequestEvent) {
					events <- e
					<-written
				}))
			if err != nil {
				return eris.Wrap(err, "starting the searcher")
			}
			nameLimits(cmd.Context(), s, signals)
			return nil
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "name of the searcher")
	cmd.Flags().StringVar(&service, "service", "", "service of the searcher")
	cmd.Flags().StringVar(&address, "address", "", "address to listen on")
	cmd.Flags().DurationVar(&serviceTime, "work", 3*time.Millisecond, "service time of a request")
	cmd.Flags().IntVar(&slots, "slots", 8, "number of requests executed at once")
	return cmd
}
