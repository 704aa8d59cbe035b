package rrmemory_test

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrmemory"
)

// All messages share the budget; what a message does not pay for, and what was released, is
// free for others.
func TestMessagesShareTheBudget(t *testing.T) {
	b := rrmemory.NewBudget(100)
	read := func(bytes int, opts ...rrmemory.Option) (*rrmemory.Reader, error) {
		r := b.NewReader(strings.NewReader(strings.Repeat("x", bytes)), opts...)
		got, err := io.ReadAll(r)
		if err == nil {
			must.Len(t, bytes, got)
		}
		return r, err
	}
	first, err := read(60)
	must.NoError(t, err)
	_, err = read(41)
	must.ErrorIs(t, err, rrmemory.ErrExhausted)
	_, err = read(21, rrmemory.WithCopies(2))
	must.ErrorIs(t, err, rrmemory.ErrExhausted)
	_, err = read(1000, rrmemory.WithUncharged(960))
	must.NoError(t, err)
	_, err = read(1)
	must.ErrorIs(t, err, rrmemory.ErrExhausted)
	first.Release()
	first.Release()
	_, err = read(30, rrmemory.WithCopies(2))
	must.NoError(t, err)
	_, err = read(1)
	must.ErrorIs(t, err, rrmemory.ErrExhausted)
}
