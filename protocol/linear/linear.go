// Package linear holds a straight line through samples in a form that several hosts can add up.
package linear

const (
	// fade is the weight that a sample keeps with each further one.
	fade = 0.99
	// fewSamples is the weight of samples below which the line is not known.
	fewSamples = 15
	// spread is the least spread of x, as a part of its mean, from which a slope is believed.
	spread = 0.1
)

// Fit holds the weighted sums of samples that a least-squares line needs.
type Fit struct {
	// N is the weight of the samples, X and Y the sums of their values, XX and XY those of their products.
	N  float64 `json:"n"`
	X  float64 `json:"x"`
	Y  float64 `json:"y"`
	XX float64 `json:"xx"`
	XY float64 `json:"xy"`
}

// Sampled returns the fit with one more sample; the weight of the others fades.
func (f Fit) Sampled(x, y float64) Fit {
	return Fit{N: f.N*fade + 1, X: f.X*fade + x, Y: f.Y*fade + y, XX: f.XX*fade + x*x, XY: f.XY*fade + x*y}
}

// Plus returns the fit through the samples of both.
func (f Fit) Plus(other Fit) Fit {
	return Fit{N: f.N + other.N, X: f.X + other.X, Y: f.Y + other.Y, XX: f.XX + other.XX, XY: f.XY + other.XY}
}

// Line returns the line's value at 0 and its slope; known is false while there are too few samples, or too much alike.
func (f Fit) Line() (base, slope float64, known bool) {
	if f.N < fewSamples {
		return 0, 0, false
	}
	mx, my := f.X/f.N, f.Y/f.N
	variance := f.XX/f.N - mx*mx
	if variance <= spread*spread*mx*mx {
		return 0, 0, false
	}
	slope = (f.XY/f.N - mx*my) / variance
	return my - slope*mx, slope, true
}
