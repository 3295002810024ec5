// Package centre holds the identifier of a data centre.
package centre

// ID identifies a data centre.
type ID string
