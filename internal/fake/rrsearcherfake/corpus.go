package rrsearcherfake

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmerge"
)

// CorpusSize is the number of documents of each service and version.
const CorpusSize = 200

// scoreRange is the number of distinct scores.
const scoreRange = 10_000

// document returns the hit of the n-th document. Its score depends on the
// service, the index version and the query, so that hits of two versions differ.
func document(n int, service rrunit.ServiceName, version rrunit.IndexVersion, body json.RawMessage) rrquery.Hit {
	id := fmt.Sprintf("%s-%04d", service, n)
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%s", id, version, body))
	text, err := json.Marshal(fmt.Sprintf("%s at version %d", id, version))
	if err != nil {
		panic(err)
	}
	return rrquery.Hit{ID: id, Score: float64(sum % scoreRange), Body: text}
}

// ShardHits returns the hits of a searcher of the shard: the best limit hits among
// the shard's documents. Documents are assigned to the shards round robin.
func ShardHits(l *rrdefinition.Layout, shard rrunit.ShardName, service rrunit.ServiceName,
	version rrunit.IndexVersion, body json.RawMessage, limit int,
) []rrquery.Hit {
	first := slices.IndexFunc(l.Shards, func(s rrdefinition.Shard) bool { return s.Name == shard })
	if first < 0 {
		return nil
	}
	var all []rrquery.Hit
	for n := first; n < CorpusSize; n += len(l.Shards) {
		all = append(all, document(n, service, version, body))
	}
	return rrmerge.Hits([][]rrquery.Hit{all}, limit)
}

// ExpectedHits returns the hits of a correct answer that covers the shards.
func ExpectedHits(l *rrdefinition.Layout, covered []rrunit.ShardName, service rrunit.ServiceName,
	version rrunit.IndexVersion, body json.RawMessage, limit int,
) []rrquery.Hit {
	lists := make([][]rrquery.Hit, 0, len(covered))
	for _, name := range covered {
		lists = append(lists, ShardHits(l, name, service, version, body, CorpusSize))
	}
	return rrmerge.Hits(lists, limit)
}
