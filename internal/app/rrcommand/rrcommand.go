// Package rrcommand implements the command lines of the daemon and of the operators'
// client. It makes no decisions of its own.
package rrcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The exit codes of all commands.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means failed, refused or not answered.
	ExitFailed = 1
	// ExitUsage means invalid arguments, settings, patch or query.
	ExitUsage = 2
	// ExitConflict means that the definition has another number than the base.
	ExitConflict = 3
	// ExitPartial means that some shards are missing from the answer.
	ExitPartial = 4
)

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// usageError marks an error in arguments, settings or other input.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// Main runs a command and returns its exit code. An interrupt or SIGTERM cancels
// the command's context.
func Main(cmd *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Execute(ctx, cmd)
}

// Execute runs a command and returns its exit code. Errors go to the command's
// error stream, one line each.
func Execute(ctx context.Context, cmd *cobra.Command) int {
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	wrapArgErrors(cmd)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(cmd.ErrOrStderr(), "error:", eris.ToString(err, false))
	return exitCode(err)
}

// wrapArgErrors turns errors of argument validation into usage errors.
func wrapArgErrors(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return &usageError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		wrapArgErrors(sub)
	}
}

func exitCode(err error) int {
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.code
	}
	if isUsage(err) {
		return ExitUsage
	}
	return ExitFailed
}

func isUsage(err error) bool {
	if _, ok := errors.AsType[*usageError](err); ok {
		return true
	}
	_, ok := errors.AsType[*rrunit.FieldError](err)
	return ok
}

// newLogger returns a logger that writes one line of key=value pairs per event.
func newLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
		Level:           level,
	})
}
