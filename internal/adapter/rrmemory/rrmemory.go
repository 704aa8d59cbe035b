// Package rrmemory bounds the memory of all messages that are being read, since those that
// send them may be many, and may not stop.
package rrmemory

import (
	"io"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// ErrExhausted is returned when the messages that are being read use the whole budget.
var ErrExhausted = eris.New("the messages being read take all memory that they may")

// Budget is the memory that all messages share. It is safe for concurrent use.
type Budget struct {
	free *semaphore.Weighted
}

// NewBudget returns a budget of the given bytes.
func NewBudget(bytes int64) *Budget { return &Budget{free: semaphore.NewWeighted(bytes)} }

// Reader charges the bytes of one message to a budget as they arrive. Bytes that a slow
// sender has not sent yet cost nothing.
type Reader struct {
	r      io.Reader
	budget *Budget
	// uncharged is how many more bytes cost nothing, and copies how many copies of each of
	// the others are in memory.
	uncharged, copies int
	held              int64
}

// Option configures a Reader.
type Option func(*Reader)

// WithCopies sets how many copies of the message are in memory; one by default.
func WithCopies(n int) Option { return func(r *Reader) { r.copies = n } }

// WithUncharged sets how many bytes at the start of the message cost nothing; none by default.
func WithUncharged(bytes int) Option { return func(r *Reader) { r.uncharged = bytes } }

// NewReader returns a reader of one message, which must be released.
func (b *Budget) NewReader(r io.Reader, opts ...Option) *Reader {
	out := &Reader{r: r, budget: b, copies: 1}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// Read implements io.Reader. It returns ErrExhausted if the budget has no room for the bytes.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	charged := max(0, n-r.uncharged)
	r.uncharged -= n - charged
	if charged == 0 {
		return n, err
	}
	cost := int64(charged) * int64(r.copies)
	if !r.budget.free.TryAcquire(cost) {
		return 0, ErrExhausted
	}
	r.held += cost
	return n, err
}

// Release returns the message's share to the budget.
func (r *Reader) Release() {
	r.budget.free.Release(r.held)
	r.held = 0
}
