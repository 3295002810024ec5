// Package reply holds the response of an entry host that reads the platform's tables on behalf of others.
package reply

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
)

// Reply is the response to one query.
type Reply struct {
	// IsReader is set when the responding host has the role of a reader of the tables. A host without that role has
	// ignored the query's statistics, and its own in the reply are not to be used.
	IsReader bool `json:"reads"`
	// TablesUnreachable is set when the responding host's latest reads of the tables failed.
	TablesUnreachable bool `json:"blind,omitempty"`
	// Deltas holds the changes of each table in the query.
	Deltas map[string]delta.Delta `json:"news,omitempty"`
	// Total holds the statistics of all hosts, or for a query with FromReader those of the hosts that report to the
	// responding host.
	Total *stats.Stats `json:"total,omitempty"`
	// AckedWindow is the newest usage window whose final counts from the sender of the query the store has taken.
	AckedWindow int64 `json:"through,omitempty"`
}
