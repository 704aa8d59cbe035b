package rrlink

import (
	"context"
	"sync"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// Limits of the messages queued for one stream.
const (
	// maxQueuedMessages is the maximum number of small messages.
	maxQueuedMessages = 1 << 16
	// maxQueuedBytes is the approximate maximum size of all messages.
	maxQueuedBytes = 64 << 20
	// maxFrameBytes is the size from which no more messages are added to a frame.
	// With one more message a frame stays below maxMessageBytes.
	maxFrameBytes = 2 << 20
	// messageOverheadBytes is the approximate size of a small message without its
	// bodies.
	messageOverheadBytes = 256
)

// batch is a queued frame with its approximate size in bytes.
type batch struct {
	frame rrpeer.Frame
	size  int
}

// sendQueue batches small messages into frames: those added while a frame is being
// sent go together into the next frame, or into several frames if they are too large
// for one.
type sendQueue struct {
	// ready has one element while a batch is queued.
	ready chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	batches []*batch
	// count is the number of messages in all batches, size their size in bytes.
	count int
	size  int
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

// put adds a message with bodies of size bytes to the next frame. It returns false
// and adds nothing if the queue is full.
func (q *sendQueue) put(size int, add func(f *rrpeer.Frame)) bool {
	size += messageOverheadBytes
	q.mu.Lock()
	if q.count >= maxQueuedMessages || q.size+size > maxQueuedBytes {
		q.mu.Unlock()
		return false
	}
	n := len(q.batches)
	if n == 0 || q.batches[n-1].size >= maxFrameBytes {
		q.batches = append(q.batches, new(batch))
		n++
	}
	add(&q.batches[n-1].frame)
	q.batches[n-1].size += size
	q.count++
	q.size += size
	q.mu.Unlock()
	q.signal()
	return true
}

func (q *sendQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all batches.
func (q *sendQueue) takeAll() []*batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.batches
	q.batches, q.count, q.size = nil, 0, 0
	return out
}

// sendLoop sends queued frames until ctx ends or a send fails.
func (q *sendQueue) sendLoop(ctx context.Context, send func(*rrpeer.Frame) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.ready:
		}
		for _, b := range q.takeAll() {
			if err := send(&b.frame); err != nil {
				return
			}
		}
	}
}

// hitsSize returns the approximate size of hits in bytes.
func hitsSize(hits []rrquery.Hit) int {
	n := 0
	for i := range hits {
		n += messageOverheadBytes + len(hits[i].ID) + len(hits[i].Body)
	}
	return n
}
