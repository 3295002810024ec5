// Package endpt holds the identifier of an endpoint.
package endpt

// ID identifies an endpoint, one back-end server process.
type ID string
