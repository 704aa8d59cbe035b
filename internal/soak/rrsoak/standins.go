package rrsoak

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
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

// searcherOrder changes what a searcher does. What is not set stays as it is.
type searcherOrder struct {
	// Limit is the request limit that the searcher names; empty is none.
	Limit *string `json:"limit,omitempty"`
	// Answer is the name of the odd answer that it sends in place of a share of its answers;
	// empty is none.
	Answer *string      `json:"answer,omitempty"`
	Share  rrunit.Share `json:"share,omitempty"`
	// Leaving is whether it says that it leaves.
	Leaving *bool `json:"leaving,omitempty"`
	// Pause is how long it refuses all requests from now on.
	Pause time.Duration `json:"pause,omitempty"`
}

// follow carries out orders, one a line, until they end.
func follow(s *standin.Searcher, orders io.Reader) error {
	for in := json.NewDecoder(orders); ; {
		var o searcherOrder
		if err := in.Decode(&o); err != nil {
			return eris.Wrap(err, "reading orders")
		}
		if o.Limit != nil {
			s.SetRequestLimit(*o.Limit)
		}
		if o.Leaving != nil {
			s.SetLeaving(*o.Leaving)
		}
		if o.Pause > 0 {
			s.Pause(time.Now().Add(o.Pause))
		}
		if o.Answer != nil {
			if err := s.SetOddAnswer(*o.Answer, o.Share); err != nil {
				return err
			}
		}
	}
}

// crashField is the field of the query whose value says after which time a request ends the
// searcher that runs it.
const crashField = "crash"

// crash ends the process if the request asks for that.
func crash(_ int, _ http.ResponseWriter, r *http.Request) bool {
	if delay, err := time.ParseDuration(r.URL.Query().Get(crashField)); err == nil {
		time.Sleep(delay)
		os.Exit(1)
	}
	return true
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
			s.SetInterceptor(crash)
			return follow(s, cmd.InOrStdin())
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "name of the searcher")
	cmd.Flags().StringVar(&service, "service", "", "service of the searcher")
	cmd.Flags().StringVar(&address, "address", "", "address to listen on")
	cmd.Flags().DurationVar(&serviceTime, "work", 3*time.Millisecond, "service time of a request")
	cmd.Flags().IntVar(&slots, "slots", 8, "number of requests executed at once")
	return cmd
}
