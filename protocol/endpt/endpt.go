// Package endpt holds one identifier.
package endpt

// ID names an endpoint: one server process that answers requests.
type ID string
