package rrlatest_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrlatest"
)

// Guards against an older value that is applied after a later one: it is read before the later
// one is set, and applied again after.
func TestReapplyDuringSet(t *testing.T) {
	var mu sync.Mutex
	var applied []int
	entered, release := make(chan struct{}), make(chan struct{})
	blocks := false
	v := rrlatest.New(func(n *int) {
		mu.Lock()
		isBlocked := blocks
		blocks = false
		mu.Unlock()
		if isBlocked {
			close(entered)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		applied = append(applied, *n)
	})
	v.Reapply()
	must.Nil(t, v.Load())
	one, two := 1, 2
	v.Set(&one)
	blocks = true
	var calls sync.WaitGroup
	calls.Go(v.Reapply)
	<-entered
	calls.Go(func() { v.Set(&two) })
	time.Sleep(20 * time.Millisecond)
	close(release)
	calls.Wait()
	must.Eq(t, []int{1, 1, 2}, applied)
	must.Eq(t, &two, v.Load())
}
