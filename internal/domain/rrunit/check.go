package rrunit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"
)

// MaxNameLength is the length of the longest name or id, in bytes.
const MaxNameLength = 128

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]*$`)

// FieldError is an error in one field of an input.
type FieldError struct {
	// Field is the path of the field, such as services[2].name.
	Field string
	// Problem is what is wrong with the field, as a text for the sender.
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Invalid returns a FieldError for the field.
func Invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// CheckName returns a FieldError if s is not a valid name.
func CheckName[T ~string](field string, s T) error {
	switch {
	case s == "":
		return Invalid(field, "is missing")
	case len(s) > MaxNameLength:
		return Invalid(field, "is longer than %d bytes", MaxNameLength)
	case !namePattern.MatchString(string(s)):
		return Invalid(field, "%q has characters other than letters, digits and . _ : -", string(s))
	}
	return nil
}

// DecodeStrict decodes one JSON value into v. Unknown fields, wrong types and
// trailing data are errors that name the field.
func DecodeStrict(b []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Invalid("(body)", "has data after the JSON value")
	}
	return nil
}

func decodeError(err error) error {
	if _, ok := errors.AsType[*FieldError](err); ok {
		return err
	}
	if te, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && te.Field != "" {
		return Invalid(te.Field, "is a JSON %s, want %s", te.Value, expectedFormat(te.Type))
	}
	const unknown = `json: unknown field "`
	if field, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return Invalid(strings.TrimSuffix(field, `"`), "is not a known field")
	}
	return Invalid("(body)", "is not the JSON that is wanted: %v", err)
}

// expectedFormat describes the JSON values of a type, as a text for the sender.
func expectedFormat(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a string of a number and a unit, such as "120ms"`
	}
	return t.String()
}
