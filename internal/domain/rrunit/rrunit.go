// Package rrunit holds the named types for ids and units that all other packages
// share. It does not depend on settings, wire protocols or decisions.
package rrunit

import "strings"

// InstanceID identifies an instance of the system, unique in the deployment.
type InstanceID string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region; each availability zone belongs to exactly one.
type Region string

// ServiceName is the name of a service of the definition.
type ServiceName string

// LayoutName is the name of a layout, which is one partitioning of a service.
type LayoutName string

// ShardName is the name of a shard of a layout.
type ShardName string

// SearcherID identifies an upstream process, unique in the definition.
type SearcherID string

// RankName is the name of a rank.
type RankName string

// CallerID identifies a caller. It is chosen by the caller and not verified.
type CallerID string

// RequestID is the id that a caller assigns to its request. It is unique only
// in combination with the caller's id.
type RequestID string

// ChangeID identifies a submitted change of the definition, so that a resent
// change is applied only once.
type ChangeID string

// DefinitionNumber numbers the versions of the definition. It only increases;
// zero means that there is no definition.
type DefinitionNumber uint64

// IndexVersion numbers the versions of a service's index.
type IndexVersion uint64

// Fingerprint is a hash of a request's content. Requests with the same content
// have the same fingerprint, whatever their ids.
type Fingerprint uint64

// Bytes is a size in bytes.
type Bytes int64

// Share is a fraction from 0 to 1.
type Share float64

// Rate is a number of events per second.
type Rate float64

// ShardKey identifies a shard in the deployment.
type ShardKey struct {
	Service ServiceName `json:"service"`
	Layout  LayoutName  `json:"layout"`
	Shard   ShardName   `json:"shard"`
}

// String returns the key as service/layout/shard.
func (k ShardKey) String() string {
	return strings.Join([]string{string(k.Service), string(k.Layout), string(k.Shard)}, "/")
}

// Snapshot is one consistent view of a service: an index version and the layout
// that it was built for. The zero value means no snapshot.
type Snapshot struct {
	Version IndexVersion `json:"version"`
	Layout  LayoutName   `json:"layout"`
}

// IsZero reports whether s is the zero value.
func (s Snapshot) IsZero() bool { return s == Snapshot{} }
