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

// maxVersions is the number of versions of a document that a daemon keeps to send
// differences from, including the newest.
const maxVersions = 4

// version is one version of a document.
type version struct {
	sum    rrpeer.Sum
	number rrunit.DefinitionNumber
	value  []byte
}

// history holds the latest versions of one document.
type history struct {
	// versions are ordered from the newest to the oldest.
	versions []version
	// deltas caches the requested differences to the newest version by their base.
	deltas map[rrpeer.Sum][]byte
}

func (h *history) add(number rrunit.DefinitionNumber, value []byte) {
	v := version{sum: rrdelta.Sum(value), number: number, value: value}
	h.versions = append([]version{v}, h.versions[:min(len(h.versions), maxVersions-1)]...)
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

// reply returns the newest version, as a difference if the base is kept.
func (h *history) reply(ask *rrpeer.FetchRequest) *rrpeer.DocumentCopy {
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

// reconstruct returns the full document from a copy, which may be a difference from
// the base. It fails if the base is not kept or the checksum does not match.
func (h *history) reconstruct(c *rrpeer.DocumentCopy, base rrpeer.Sum) ([]byte, error) {
	value := c.Value
	if c.IsDelta {
		baseValue, ok := h.find(base)
		if !ok {
			return nil, eris.Errorf("base of the %s is no longer kept", c.Document)
		}
		var err error
		if value, err = rrdelta.Apply(baseValue, c.Value, int(rrpeer.MaxDocumentSize)); err != nil {
			return nil, err
		}
	}
	if rrdelta.Sum(value) != c.Sum {
		return nil, eris.Errorf("checksum of the %s copy does not match", c.Document)
	}
	return value, nil
}

// decodeList decodes the document of the platform's list.
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
