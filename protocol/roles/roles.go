// Package roles enumerates the roles of entry hosts in reading the platform's tables.
package roles

//go:generate stringer -type=Role -linecomment

// Role is the role of a host in its data centre when only some hosts read the tables and pass them on.
type Role uint8

// The roles.
const (
	// Other queries a reader.
	Other Role = iota // other
	// Secondary queries the primary reader and answers other hosts; it reads the tables when the primary's data is stale.
	Secondary // second
	// Primary reads the tables and answers other hosts.
	Primary // head
)
