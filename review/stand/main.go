// Command stand runs the cases of the review: it starts the built daemons as separate
// processes beside stand-ins of the platform, its searchers and its clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxCaseTime bounds a case, its start and its end included.
const maxCaseTime = 115 * time.Second

// errBroken is wrapped by the error of a case that has seen its rule broken.
var errBroken = errors.New("rule broken")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	var err error
	switch {
	case len(args) == 4 && args[0] == "case":
		err = runCase(ctx, args[1], args[2], args[3])
	case len(args) > 0 && args[0] == "searcher":
		err = runSearcher(ctx, args[1:])
	default:
		err = errors.New("usage: stand case NAME DIR TROUBLE | stand searcher FLAGS")
	}
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
}

// runCase runs the named case, which leaves its record in the folder. If trouble is 0, it
// runs without its disruption.
func runCase(ctx context.Context, name, dir, trouble string) error {
	cases := map[string]func(context.Context, *fleet) error{
		"suspect":   runSuspectCase,
		"halfclose": runHalfCloseCase,
		"twice":     runTwiceCase,
		"pause":     runPauseCase,
		"encoding":  runEncodingCase,
	}
	f := cases[name]
	if f == nil {
		return fmt.Errorf("no case %q", name)
	}
	fl, err := newFleet(ctx, dir, trouble != "0")
	if err != nil {
		return err
	}
	defer fl.close()
	err = f(ctx, fl)
	fl.record("verdict", "err", err)
	return err
}
