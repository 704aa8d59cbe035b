package rrdefinition_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrslopes"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

func TestLargeDefinitionFitsTheStore(t *testing.T) {
	def, err := rrslopes.Definition(11_000)
	must.NoError(t, err)
	plain, err := json.Marshal(def)
	must.NoError(t, err)
	must.Greater(t, int(rrstore.MaxValueSize), len(plain), must.Sprint("the test needs a definition that does not fit uncompressed"))
	encoded, err := def.Encode()
	must.NoError(t, err)
	must.LessEq(t, int(rrstore.MaxValueSize), len(encoded))
	decompressed, err := rrdefinition.Decompress(encoded)
	must.NoError(t, err)
	must.True(t, bytes.Equal(plain, decompressed))
	decoded, err := rrdefinition.Decode(encoded)
	must.NoError(t, err)
	must.Eq(t, len(def.Services), len(decoded.Services))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"number":1,"ranks":[],"services":[]}`))
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		def, err := rrdefinition.Decode(b)
		if err == nil {
			must.NoError(t, def.Check())
		}
	})
}
