// Command rig3 plays the scripted cases of the review: it starts daemons as processes, with
// stand-ins for the platform's store, searchers and clients, and judges one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// scenario plays a case, with its disruption if trouble is set, and returns what broke the rule.
type scenario func(ctx context.Context, f *fleet, trouble bool) (broken []string, err error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"incomplete-entry": playIncompleteEntry,
		"low-rank":         playLowRank,
		"readers-lost":     playReadersLost,
		"deadly-query":     playDeadlyQuery,
		"reload-at-drain":  playReloadAtDrain,
		"silent-store":     playSilentStore,
	}
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const argCount = 4
	if len(args) != argCount || scenarios()[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: rig3 CASE DAEMON RECORD TROUBLE, which is 0 to leave the disruption out")
		return exitNotRun
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	broken, err := play(scenarios()[args[0]], rec, args[1], args[3] != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if len(broken) > 0 {
		rec.note("the rule is broken %d times, first: %s", len(broken), broken[0])
		_, _ = fmt.Println("broken:", len(broken), "times; first:", broken[0])
		return exitBroken
	}
	rec.note("the rule has held")
	_, _ = fmt.Println("held")
	return exitHeld
}

func play(s scenario, rec *recorder, binary string, trouble bool) ([]string, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	rec.note("begins, disruption: %t", trouble)
	f, err := newFleet(rec, binary)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return s(ctx, f, trouble)
}
