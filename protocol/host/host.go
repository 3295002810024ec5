// Package host holds the identifier of an entry host.
package host

// ID identifies an entry host.
type ID string
