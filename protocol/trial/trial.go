// Package trial holds the evidence on one route of a version move.
package trial

// Trial counts outcomes of the old and the new version on one route, at the same time.
type Trial struct {
	// Route is the route, or the entry's name for model entries.
	Route string `json:"route"`
	// Old counts finished requests on the old version.
	Old int64 `json:"old"`
	// OldBad counts those that failed or were late.
	OldBad int64 `json:"old-bad"`
	// New counts finished requests on the new version.
	New int64 `json:"new"`
	// NewBad counts those that failed or were late.
	NewBad int64 `json:"new-bad"`
}

// Add returns the sum of two counts of the same route.
func (t Trial) Add(o Trial) Trial {
	t.Old += o.Old
	t.OldBad += o.OldBad
	t.New += o.New
	t.NewBad += o.NewBad
	return t
}
