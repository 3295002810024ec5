// Package reply holds the response of an entry host that reads the platform's tables on behalf of others.
package reply

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/sums"
)

// Reply is the response to one query.
type Reply struct {
	// Reads is set when the responding host has the role of a reader of the tables. A host without that role has ignored the
	// query's statistics, and its own in the reply are not to be used.
	Reads bool `json:"reads"`
	// Blind is set when the responding host's latest reads of the tables failed.
	Blind bool `json:"blind,omitempty"`
	// News holds the changes of each table in the query.
	News map[string]news.News `json:"news,omitempty"`
	// Total holds the statistics of all hosts, or for a query with FromReader those of the hosts that report to the responding
	// host.
	Total *sums.Sums `json:"total,omitempty"`
	// Through is the newest usage window whose final counts from the sender of the query were accepted.
	Through int64 `json:"through,omitempty"`
}
