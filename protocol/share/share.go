// Package share holds a named fraction of traffic.
package share

// Share is the fraction of traffic that goes to a new version on one route, or to one back end of a route.
type Share struct {
	// Name is the route's name, the entry's for model entries, or the back end's.
	Name string `json:"name"`
	// Fraction is the fraction of the route's traffic, 0 to 1.
	Fraction float64 `json:"share"`
}
