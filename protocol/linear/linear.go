// Package linear holds a linear regression whose sums can be merged over several hosts.
package linear

const (
	// decay is the factor by which the weight of earlier samples decreases with each new one.
	decay = 0.99
	// minWeight is the total weight of samples below which no line is returned.
	minWeight = 15
	// minSpread is the minimum standard deviation of x, relative to its mean; below it the slope is unreliable.
	minSpread = 0.1
)

// Fit holds the weighted sums of samples for a least-squares line, with exponential decay.
type Fit struct {
	// N is the total weight of the samples, X and Y the weighted sums of their values, XX and XY those of their products.
	N  float64 `json:"n"`
	X  float64 `json:"x"`
	Y  float64 `json:"y"`
	XX float64 `json:"xx"`
	XY float64 `json:"xy"`
}

// WithSample returns the fit with one more sample; the weight of the earlier ones decays.
func (f Fit) WithSample(x, y float64) Fit {
	return Fit{N: f.N*decay + 1, X: f.X*decay + x, Y: f.Y*decay + y, XX: f.XX*decay + x*x, XY: f.XY*decay + x*y}
}

// Plus returns the fit of the samples of both.
func (f Fit) Plus(other Fit) Fit {
	return Fit{N: f.N + other.N, X: f.X + other.X, Y: f.Y + other.Y, XX: f.XX + other.XX, XY: f.XY + other.XY}
}

// Line returns the intercept and slope of the line; known is false while there are too few samples or their x values
// differ too little.
func (f Fit) Line() (intercept, slope float64, known bool) {
	if f.N < minWeight {
		return 0, 0, false
	}
	mx, my := f.X/f.N, f.Y/f.N
	variance := f.XX/f.N - mx*mx
	if variance <= minSpread*minSpread*mx*mx {
		return 0, 0, false
	}
	slope = (f.XY/f.N - mx*my) / variance
	return my - slope*mx, slope, true
}
