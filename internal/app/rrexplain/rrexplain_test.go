package rrexplain_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrexplain"
)

// A request that an unexpected error ended names the error's place.
func TestUnexpectedErrorIsExplained(t *testing.T) {
	lines, err := rrexplain.Read(strings.NewReader(`time=2026-12-05T10:00:01.000Z level=error msg="dispatcher failed" instance=f service=s requests=2 attempts=1 err="unexpected error at start.go:95: nil"
time=2026-12-05T10:00:01.001Z level=warn msg="part failed" instance=f id=a1 service=s reason=internal attempts=""
time=2026-12-05T10:00:01.002Z level=warn msg="request short" instance=f id=a1 status=502 reason=internal
`))
	must.NoError(t, err)
	r := rrexplain.Explain(lines, "a1")
	must.Eq(t, rrexplain.CauseInternal, r.Cause)
	var b strings.Builder
	must.NoError(t, r.Write(&b))
	must.StrContains(t, b.String(), "the daemon's dispatcher of s failed: unexpected error at start.go:95")
}
