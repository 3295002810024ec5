// Package query holds the request of an entry host to one that reads the platform's tables on behalf of others.
package query

import (
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/stats"
	"github.com/dragonflyroute/dragonflyroute/protocol/window"
)

// Query is a request for table changes and for the totals of all hosts; it carries the sender's own statistics.
type Query struct {
	// Host is the sender, and Incarnation identifies the start of its process.
	Host        host.ID `json:"host"`
	Incarnation int64   `json:"incarnation"`
	// Versions is the version of each table that the sender has, 0 for none.
	Versions map[string]int64 `json:"have,omitempty"`
	// Stats holds the sender's statistics, or with FromReader the totals of all hosts that report to it.
	Stats stats.Stats `json:"own"`
	// FromReader is set when the sender reads the tables itself and only exchanges statistics.
	FromReader bool `json:"group,omitempty"`
	// FinalWindow is the newest usage window whose counts are final at the sender, and Usage its newest windows; they
	// are 0 and nil when the receiver has already acknowledged them.
	FinalWindow int64           `json:"through,omitempty"`
	Usage       []window.Window `json:"usage,omitempty"`
}
