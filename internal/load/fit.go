package load

import "fmt"

// Point is one measurement: a cost Y at a size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares linear fit.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the coefficient of determination: the share of the variance that the
	// line explains.
	R2     float64 `json:"r2"`
	Points int     `json:"points"`
}

// FitLine returns the least-squares line through the points. The slope is zero
// unless at least two points differ in X.
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
	var sumXX, sumXY, sumYY float64
	for _, p := range points {
		sumXX += (p.X - meanX) * (p.X - meanX)
		sumXY += (p.X - meanX) * (p.Y - meanY)
		sumYY += (p.Y - meanY) * (p.Y - meanY)
	}
	if sumXX > 0 {
		fit.Slope = sumXY / sumXX
	}
	fit.Intercept = meanY - fit.Slope*meanX
	if sumXX > 0 && sumYY > 0 {
		fit.R2 = sumXY * sumXY / (sumXX * sumYY)
	}
	return fit
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// String returns the line, its R2 and the number of points.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g x (R2 %.3f, %d points)", f.Intercept, f.Slope, f.R2, f.Points)
}
