package rrlink

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

func TestSendQueueBoundsFramesAndBytes(t *testing.T) {
	q := newSendQueue()
	const body = 64 << 10
	n := 0
	for q.put(body, func(f *rrpeer.Frame) { f.Tasks = append(f.Tasks, rrpeer.Task{}) }) {
		n++
	}
	must.Between(t, maxQueuedBytes/(body+messageOverheadBytes)-1, n, maxQueuedBytes/body)
	tasks := 0
	for _, b := range q.takeAll() {
		must.LessEq(t, maxFrameBytes+body+messageOverheadBytes, b.size)
		must.LessEq(t, maxMessageBytes, b.size)
		tasks += len(b.frame.Tasks)
	}
	must.Eq(t, n, tasks)
	must.True(t, q.put(maxQueuedBytes-messageOverheadBytes, func(*rrpeer.Frame) {}))
}
