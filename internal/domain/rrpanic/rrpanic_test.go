package rrpanic_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
)

func read(b []byte, at int) (_ byte, err error) {
	defer rrpanic.Recover(&err)
	return b[at], nil
}

func TestRecover(t *testing.T) {
	got, err := read([]byte{1, 2}, 1)
	must.NoError(t, err)
	must.Eq(t, 2, got)
	_, err = read([]byte{1, 2}, 2)
	must.ErrorContains(t, err, "rrpanic_test.go:13: runtime error: index out of range")
}
