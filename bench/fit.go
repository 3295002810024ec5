package main

import "math"

// linearFit is a least-squares fit of a line to points.
type linearFit struct {
	xs, ys []float64
}

type fitFigures struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// RMSError is the root mean square of the residuals.
	RMSError float64 `json:"rms-error"`
}

func (l *linearFit) add(x, y float64) {
	l.xs = append(l.xs, x)
	l.ys = append(l.ys, y)
}

func (l *linearFit) fit() fitFigures {
	n := float64(len(l.xs))
	var sx, sy, sxx, sxy float64
	for i, x := range l.xs {
		sx += x
		sy += l.ys[i]
		sxx += x * x
		sxy += x * l.ys[i]
	}
	f := fitFigures{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	f.Intercept = (sy - f.Slope*sx) / n
	for i, x := range l.xs {
		d := l.ys[i] - f.Slope*x - f.Intercept
		f.RMSError += d * d / n
	}
	f.RMSError = math.Sqrt(f.RMSError)
	return f
}
