package rrclaim

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// BenchmarkPartition measures the cost of one claim, a read and a write, in a
// partition that already holds claims with outcomes.
func BenchmarkPartition(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprintf("claims=%d", size), func(b *testing.B) {
			p, store := New("5f0c0f6e-8f6c-4c39-9d53-3d0b8f6f2c11", defaultRetention), new(fakeStore)
			for i := range size {
				p.Claim(Ticket(i), requestAt(epoch, i))
				if i%1000 == 999 {
					store.run(p, epoch)
				}
			}
			store.run(p, epoch)
			hits := []rrquery.Hit{{ID: "label-84.2", Score: 1, Body: json.RawMessage(`{"printed":"2026-12-04T02:00:00Z"}`)}}
			for i := range size {
				p.Record(requestAt(epoch, i).Key, Ticket(i), Outcome{Shard: "00", Hits: hits})
			}
			store.run(p, epoch)
			for n := 0; b.Loop(); n++ {
				d := store.claim(p, epoch, Ticket(size+n), requestAt(epoch, size))
				must.NotEq(b, VerdictFull, d.Verdict)
				p.Release(requestAt(epoch, size).Key, Ticket(size+n))
			}
			b.ReportMetric(float64(len(store.object.Value))/float64(size), "B/claim")
		})
	}
	b.Run("read", func(b *testing.B) {
		t := newTable()
		for i := range 2500 {
			t.add(newEntry(&Claim{Caller: "press", ID: idAt(epoch, i), State: StateClaimed}, nil))
		}
		value := t.encode()
		for b.Loop() {
			_, err := decodeTable(value)
			must.NoError(b, err)
		}
	})
}

const defaultRetention = 3600 * 1e9
