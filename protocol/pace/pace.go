// Package pace holds a rate of requests.
package pace

// Pace is a number of requests per second.
type Pace float64
