// Package trial holds the outcome counts by which a move to a new version is evaluated.
package trial

// Trial counts the outcomes of requests to the old and the new version on one route over the same period.
type Trial struct {
	// Route is the route's name, or the entry's for model entries.
	Route string `json:"route"`
	// Old is the number of finished requests on the old version.
	Old int64 `json:"old"`
	// OldBad is the number of those without a success in time.
	OldBad int64 `json:"old-bad"`
	// New is the number of finished requests on the new version.
	New int64 `json:"new"`
	// NewBad is the number of those without a success in time.
	NewBad int64 `json:"new-bad"`
	// NewDue is the number of requests on the new version that would have been bad at the old version's share in the same
	// seconds.
	NewDue float64 `json:"new-due,omitempty"`
}

// Add returns the sum of the counts of t and o, which must be of the same route.
func (t Trial) Add(o Trial) Trial {
	t.Old += o.Old
	t.OldBad += o.OldBad
	t.New += o.New
	t.NewBad += o.NewBad
	t.NewDue += o.NewDue
	return t
}
