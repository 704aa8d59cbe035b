package rrhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// maxPatchBytes is the size of the largest patch submission.
const maxPatchBytes = int64(rrdefinition.MaxJSONSize) + envelopeBytes

// maxConcurrentPatches bounds the submissions in progress, and so the memory that
// they use.
const maxConcurrentPatches = 4

// Editor changes the definition.
type Editor interface {
	// Patch checks a submission and applies it. Errors: rrstore.ErrUnavailable,
	// rrstore.ErrUncertain.
	Patch(ctx context.Context, s *rrpatch.Submission) (rrpatch.Result, error)
}

// PatchResponse is the body of the response to a patch submission.
type PatchResponse struct {
	// Outcome is unavailable if the store could not be reached.
	Outcome rrpatch.Outcome `json:"outcome"`
	// Number is the definition number after the change, or the current one after a
	// conflict.
	Number rrunit.DefinitionNumber `json:"number,omitempty"`
	Change rrunit.ChangeID         `json:"change"`
	// Uncertain is set if it is uncertain whether the change took effect.
	Uncertain bool   `json:"maybe,omitempty"`
	Error     string `json:"error,omitempty"`
	Field     string `json:"field,omitempty"`
}

// OutcomeUnavailable is the outcome of a submission while the store is down.
const OutcomeUnavailable rrpatch.Outcome = "unavailable"

// OperatorAPI serves the definition and the state dump on the operators' port.
type OperatorAPI struct {
	instance   rrunit.InstanceID
	definition func() *rrdefinition.Definition
	editor     Editor
	dump       func() map[string]any
	// patchSlots is a semaphore of maxConcurrentPatches.
	patchSlots chan struct{}
}

// NewOperatorAPI returns the operators' API of the instance.
func NewOperatorAPI(instance rrunit.InstanceID, definition func() *rrdefinition.Definition,
	editor Editor, dump func() map[string]any,
) *OperatorAPI {
	return &OperatorAPI{
		instance:   instance,
		definition: definition,
		editor:     editor,
		dump:       dump,
		patchSlots: make(chan struct{}, maxConcurrentPatches),
	}
}

// Register adds the routes.
func (o *OperatorAPI) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/definition", o.getDefinition)
	mux.HandleFunc("POST /v1/definition/patch", o.patch)
	mux.HandleFunc("GET /v1/dump", o.getDump)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func (o *OperatorAPI) getDefinition(w http.ResponseWriter, _ *http.Request) {
	def := o.definition()
	if def == nil {
		writeRetryAfter(w, defaultRetryAfter)
		WriteJSON(w, http.StatusServiceUnavailable, Problem{Error: "no definition is known yet", NotRun: true})
		return
	}
	WriteJSON(w, http.StatusOK, def)
}

// getDump answers with the dump, or 404 if another instance is asked for.
func (o *OperatorAPI) getDump(w http.ResponseWriter, r *http.Request) {
	want := rrunit.InstanceID(r.URL.Query().Get("instance"))
	if want != "" && want != o.instance {
		p := Problem{Error: "this is instance " + string(o.instance), Field: "instance", NotRun: true}
		WriteJSON(w, http.StatusNotFound, p)
		return
	}
	WriteJSON(w, http.StatusOK, o.dump())
}

func (o *OperatorAPI) patch(w http.ResponseWriter, r *http.Request) {
	select {
	case o.patchSlots <- struct{}{}:
		defer func() { <-o.patchSlots }()
	default:
		writeRetryAfter(w, defaultRetryAfter)
		WriteJSON(w, http.StatusTooManyRequests, Problem{Error: "too many submissions are under way", NotRun: true})
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if err != nil {
		WriteProblem(w, bodyError(err))
		return
	}
	s, err := rrpatch.Decode(b)
	if err != nil {
		WriteProblem(w, err)
		return
	}
	result, err := o.editor.Patch(r.Context(), s)
	if _, ok := errors.AsType[*rrunit.FieldError](err); ok {
		WriteProblem(w, err)
		return
	}
	if err != nil {
		writeUnavailable(w, s, err)
		return
	}
	writePatchResult(w, s, &result)
}

func writePatchResult(w http.ResponseWriter, s *rrpatch.Submission, result *rrpatch.Result) {
	p := PatchResponse{Outcome: result.Outcome, Number: result.Number, Change: s.Change}
	status := http.StatusOK
	switch result.Outcome {
	case rrpatch.OutcomeConflict:
		status = http.StatusConflict
		p.Error = "the definition has another number than the base"
	case rrpatch.OutcomeInvalid:
		status = http.StatusBadRequest
		p.Error = result.Err.Error()
		if fe, ok := errors.AsType[*rrunit.FieldError](result.Err); ok {
			p.Field = fe.Field
		}
	}
	WriteJSON(w, status, p)
}

func writeUnavailable(w http.ResponseWriter, s *rrpatch.Submission, err error) {
	p := PatchResponse{Outcome: OutcomeUnavailable, Change: s.Change, Error: err.Error()}
	p.Uncertain = errors.Is(err, rrstore.ErrUncertain)
	writeRetryAfter(w, defaultRetryAfter)
	WriteJSON(w, http.StatusServiceUnavailable, p)
}
