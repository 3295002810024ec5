// Package centre holds one identifier.
package centre

// ID names a data centre.
type ID string
