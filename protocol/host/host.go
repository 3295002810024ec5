// Package host holds one identifier.
package host

// ID names an entry host.
type ID string
