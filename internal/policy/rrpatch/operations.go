package rrpatch

import (
	"encoding/json"
	"fmt"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// maxOperations is the largest number of operations in one patch.
const maxOperations = 4096

// operation is one operation of a JSON Patch.
type operation struct {
	Op    string          `json:"op"`
	Path  *string         `json:"path"`
	From  *string         `json:"from"`
	Value json.RawMessage `json:"value"`
}

// patchContent applies a patch to the part of the definition that operators can
// change, which is all fields but the number and the changes.
func patchContent(current *rrdefinition.Definition, patch json.RawMessage) (*rrdefinition.Definition, error) {
	if err := checkOperations(patch); err != nil {
		return nil, err
	}
	doc, err := encodeContent(current)
	if err != nil {
		return nil, err
	}
	patched, err := apply(doc, patch)
	if err != nil {
		return nil, rrunit.Invalid("patch", "cannot be applied: %v", err)
	}
	var next rrdefinition.Definition
	if err := rrunit.DecodeStrict(patched, &next); err != nil {
		return nil, err
	}
	if next.Number != 0 {
		return nil, rrunit.Invalid("number", "cannot be patched")
	}
	if next.Changes != nil {
		return nil, rrunit.Invalid("changes", "cannot be patched")
	}
	return &next, nil
}

// encodeContent encodes the definition without its number and changes.
func encodeContent(d *rrdefinition.Definition) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, rrunit.Invalid("patch", "the current definition cannot be encoded: %v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, rrunit.Invalid("patch", "the current definition cannot be decoded: %v", err)
	}
	delete(fields, "number")
	delete(fields, "changes")
	return json.Marshal(fields)
}

func checkOperations(patch json.RawMessage) error {
	var ops []operation
	if err := json.Unmarshal(patch, &ops); err != nil {
		return rrunit.Invalid("patch", "is not a JSON Patch: %v", err)
	}
	if len(ops) == 0 || len(ops) > maxOperations {
		return rrunit.Invalid("patch", "has %d operations, want 1 to %d", len(ops), maxOperations)
	}
	for i := range ops {
		if err := ops[i].check(fmt.Sprintf("patch[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (o *operation) check(field string) error {
	if err := checkPath(field+".path", o.Path); err != nil {
		return err
	}
	switch o.Op {
	case "add", "replace", "test":
		if len(o.Value) == 0 {
			return rrunit.Invalid(field+".value", "is missing")
		}
	case "move", "copy":
		return checkPath(field+".from", o.From)
	case "remove":
	default:
		return rrunit.Invalid(field+".op", "%q is not an operation of JSON Patch", o.Op)
	}
	return nil
}

func checkPath(field string, path *string) error {
	if path == nil {
		return rrunit.Invalid(field, "is missing")
	}
	if *path != "" && !strings.HasPrefix(*path, "/") {
		return rrunit.Invalid(field, "%q does not begin with /", *path)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(*path, "/"), "/")
	if first == "number" || first == "changes" {
		return rrunit.Invalid(first, "cannot be patched, as %s asks", field)
	}
	return nil
}

// apply applies the patch. It converts panics of the patch library, which some
// malformed patches cause, into errors.
func apply(doc []byte, patch json.RawMessage) (out []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed patch: %v", r)
		}
	}()
	p, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, err
	}
	options := jsonpatch.NewApplyOptions()
	options.SupportNegativeIndices = false
	options.AccumulatedCopySizeLimit = int64(rrdefinition.MaxJSONSize)
	return p.ApplyWithOptions(doc, options)
}
