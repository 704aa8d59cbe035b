// Command stand2 plays the cases of the second review: it starts the project's daemons as
// separate processes beside stand-ins of the platform, and checks one rule from what
// clients and searchers saw.
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

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a whole case.
const maxRunTime = 115 * time.Second

// errNotACase is returned for wrong arguments.
var errNotACase = errors.New("usage: stand2 refused|gone|poison RECORD")

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken, err := play(ctx, os.Args[1:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

// play runs the case and reports whether the rule was broken.
func play(ctx context.Context, args []string) (bool, error) {
	if len(args) != 2 {
		return false, errNotACase
	}
	rec, err := newRecord(args[1])
	if err != nil {
		return false, err
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", args[0], trouble)
	var broken bool
	switch args[0] {
	case "refused":
		broken, err = playRefused(ctx, rec, trouble)
	case "poison":
		broken, err = playPoison(ctx, rec, trouble)
	case "gone":
		broken, err = playGone(ctx, rec, trouble)
	default:
		err = errNotACase
	}
	rec.printf("result: broken %t, error %v", broken, err)
	return broken, err
}
