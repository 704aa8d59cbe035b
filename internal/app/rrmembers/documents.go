package rrmembers

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdelta"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// keptVersions is how many versions of a document a daemon keeps, the newest
// included, to send differences from them.
const keptVersions = 4

// version is one version of a document.
type version struct {
	sum    rrpeer.Sum
	number rrunit.DefinitionNumber
	value  []byte
}

// history has the latest versions of one document, the newest first.
type history struct {
	versions []version
	// deltas has the differences to the newest version that were asked for.
	deltas map[rrpeer.Sum][]byte
}

func (h *history) add(number rrunit.DefinitionNumber, value []byte) {
	v := version{sum: rrdelta.Sum(value), number: number, value: value}
	h.versions = append([]version{v}, h.versions[:min(len(h.versions), keptVersions-1)]...)
	h.deltas = make(map[rrpeer.Sum][]byte)
}

func (h *history) newest() version {
	if len(h.versions) == 0 {
		return version{}
	}
	return h.versions[0]
}

func (h *history) find(sum rrpeer.Sum) ([]byte, bool) {
	for i := range h.versions {
		if h.versions[i].sum == sum {
			return h.versions[i].value, true
		}
	}
	return nil, false
}

// answer returns the newest version, as a difference if the base is known.
func (h *history) answer(ask *rrpeer.FetchRequest) *rrpeer.DocumentCopy {
	v := h.newest()
	c := &rrpeer.DocumentCopy{Document: ask.Document, Sum: v.sum, Number: v.number, Value: v.value}
	base, ok := h.find(ask.Base)
	if !ok {
		return c
	}
	delta, ok := h.deltas[ask.Base]
	if !ok {
		delta = rrdelta.NewBase(base).Diff(v.value)
		h.deltas[ask.Base] = delta
	}
	c.IsDelta, c.Value = true, delta
	return c
}

// whole returns the document that a copy stands for, or an error if the copy
// does not fit the base that was named.
func (h *history) whole(c *rrpeer.DocumentCopy, base rrpeer.Sum) ([]byte, error) {
	value := c.Value
	if c.IsDelta {
		known, ok := h.find(base)
		if !ok {
			return nil, eris.Errorf("base of the %s is not kept any more", c.Document)
		}
		var err error
		if value, err = rrdelta.Apply(known, c.Value, int(rrpeer.MaxDocumentSize)); err != nil {
			return nil, err
		}
	}
	if rrdelta.Sum(value) != c.Sum {
		return nil, eris.Errorf("copy of the %s has another sum than it says", c.Document)
	}
	return value, nil
}

// decodeList reads the platform's list from its document.
func decodeList(value []byte) (*rrstore.List, *rrmember.List, error) {
	var list rrstore.List
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, nil, eris.Wrap(err, "decoding the list")
	}
	peers := make([]rrmember.Peer, 0, len(list.Instances))
	for _, in := range list.Instances {
		peers = append(peers, rrmember.Peer{
			ID: in.ID, Zone: in.Zone, Region: in.Region, Address: in.Peer,
			Leaving: in.State != rrstore.InstanceLive,
		})
	}
	return &list, rrmember.NewList(rrdelta.Sum(value), peers), nil
}
