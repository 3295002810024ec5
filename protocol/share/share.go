// Package share holds how much of a route's traffic a new version may get.
package share

// Share is the part of one route.
type Share struct {
	// Name is the route's name, or the entry's for model entries.
	Name string `json:"name"`
	// Share is the part of the route's traffic, 0 to 1.
	Share float64 `json:"share"`
}
