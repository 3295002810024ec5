// Package delta holds the changes of a platform table that one entry host sends to another.
package delta

import "github.com/dragonflyroute/dragonflyroute/protocol/record"

// Delta is the changes of a table since the version that the requesting host has, or a snapshot of the table.
type Delta struct {
	// Since is the version that the changes are based on; 0 for a snapshot.
	Since int64 `json:"since"`
	// Version is the version of the table after the changes.
	Version int64 `json:"version"`
	// AgeMillis is the time since a read confirmed that version, in milliseconds.
	AgeMillis int64 `json:"age-ms"`
	// RecoveredMillis is the time since the table recovered from an outage, in milliseconds; negative when there was no
	// recent outage.
	RecoveredMillis int64 `json:"back-ms"`
	// RowsOmitted is set when the rows are left out, as they are too large to send to many hosts; the requesting host
	// reads the table itself.
	RowsOmitted bool `json:"long,omitempty"`
	// Rows holds the changed rows, or all rows in a snapshot.
	Rows []record.Record `json:"rows,omitempty"`
}

// IsSnapshot reports whether the rows are a snapshot of the whole table.
func (d *Delta) IsSnapshot() bool { return d.Since == 0 }
