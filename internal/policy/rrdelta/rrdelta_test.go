package rrdelta_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrdelta"
)

const limit = 1 << 20

func TestApplyRestoresTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`([{}ab]|\{"x":[0-9]\},){0,40}`)
		base, value := []byte(text.Draw(t, "base")), []byte(text.Draw(t, "value"))
		got, err := rrdelta.Apply(base, rrdelta.NewBase(base).Diff(value), limit)
		must.NoError(t, err)
		must.True(t, bytes.Equal(value, got))
	})
}

func TestDeltaOfASmallChangeIsSmall(t *testing.T) {
	base := bytes.Repeat([]byte(`{"id":"x","address":"10.0.0.1:80"},{"id":"y"},`), 5000)
	value := bytes.Clone(base)
	copy(value[100_000:], `{"id":"changed"}`)
	value = append([]byte(`{"number":8},`), value...)
	must.Less(t, 300, len(rrdelta.NewBase(base).Diff(value)))
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("{}{}"), []byte{1, 0, 2, 2, 1, 'x'})
	f.Fuzz(func(t *testing.T, base, delta []byte) {
		out, err := rrdelta.Apply(base, delta, limit)
		if err == nil {
			must.LessEq(t, limit, len(out))
		}
	})
}
