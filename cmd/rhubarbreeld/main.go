// Command rhubarbreeld is the daemon of rhubarbreel.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"rhubarbreel.example/rhubarbreel/internal/app/rrcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := rrcommand.Execute(ctx, rrcommand.NewDaemon())
	stop()
	os.Exit(code)
}
