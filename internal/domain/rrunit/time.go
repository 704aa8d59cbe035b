package rrunit

import (
	"encoding/json"
	"reflect"
	"time"
)

// Instant is a monotonic time in nanoseconds since an origin that the process
// chooses. Instants of two processes cannot be compared.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock returns the current instant. Decision logic never holds a clock; its
// adapters do and pass in the time.
type Clock func() Instant

// SystemClock returns a clock whose origin is the time of the call.
func SystemClock() Clock {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)) }
}

// Duration is a span of time. In JSON it is a string with a unit, such as
// "120ms"; in CBOR it is a number of nanoseconds.
type Duration time.Duration

// Std converts d to the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return []byte(`"` + d.String() + `"`), nil }

// UnmarshalJSON decodes a string with a unit; a number without a unit is an error.
// It returns json.UnmarshalTypeError, to which the decoder adds the field's name.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &json.UnmarshalTypeError{Value: "value " + string(b), Type: reflect.TypeFor[Duration]()}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &json.UnmarshalTypeError{Value: "string " + string(b), Type: reflect.TypeFor[Duration]()}
	}
	*d = Duration(v)
	return nil
}
