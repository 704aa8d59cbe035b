package rrhttp

import (
	"io"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// errMemoryBudget is returned when the requests in progress use the whole memory
// budget.
var errMemoryBudget = eris.New("the requests under way take all memory that they may")

// copiesPerRequest is how many copies of a request are in memory: as read and as
// decoded.
const copiesPerRequest = 2

// budgetReader charges the bytes that arrive to a budget shared by all requests.
// Bytes that a slow caller has not sent yet cost nothing.
type budgetReader struct {
	r      io.Reader
	budget *semaphore.Weighted
	held   int64
}

// Read implements io.Reader.
func (b *budgetReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n == 0 {
		return n, err
	}
	cost := int64(n) * copiesPerRequest
	if !b.budget.TryAcquire(cost) {
		return 0, errMemoryBudget
	}
	b.held += cost
	return n, err
}

// release returns the request's share to the budget.
func (b *budgetReader) release() { b.budget.Release(b.held) }
