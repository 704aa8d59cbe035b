package rrlink_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

// TestCodecBoundsAllocations allows at most one allocation for each encoded result
// and three for each decoded hit: one each for its id and body, and one for its share
// of the result. These limits are the project's own, not a requirement of its users.
func TestCodecBoundsAllocations(t *testing.T) {
	const runs = 50
	codec, err := rrlink.NewCodec()
	must.NoError(t, err)
	frame := resultFrame()
	msg, err := codec.Marshal(frame)
	must.NoError(t, err)
	encoded := testing.AllocsPerRun(runs, func() { _, _ = codec.Marshal(frame) })
	must.LessEq(t, float64(resultsPerFrame), encoded)
	decoded := testing.AllocsPerRun(runs, func() {
		var f rrpeer.Frame
		_ = codec.Unmarshal(msg, &f)
	})
	must.LessEq(t, float64(3*resultsPerFrame*hitsPerResult), decoded)
	var back rrpeer.Frame
	must.NoError(t, codec.Unmarshal(msg, &back))
	must.Eq(t, frame, &back)
}
