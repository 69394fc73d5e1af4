package load

import "fmt"

// Point is one measurement: a cost Y at a size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line through points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the share of the variance that the line explains.
	R2     float64 `json:"r2"`
	Points int     `json:"points"`
}

// FitLine returns the least-squares line through at least two points with
// different X; otherwise its slope is zero.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	fit := Fit{Points: len(points)}
	if n == 0 {
		return fit
	}
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		yy += (p.Y - meanY) * (p.Y - meanY)
	}
	if xx > 0 {
		fit.Slope = xy / xx
	}
	fit.Intercept = meanY - fit.Slope*meanX
	if xx > 0 && yy > 0 {
		fit.R2 = xy * xy / (xx * yy)
	}
	return fit
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// String returns the line with its R2.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g x (R2 %.3f, %d points)", f.Intercept, f.Slope, f.R2, f.Points)
}
