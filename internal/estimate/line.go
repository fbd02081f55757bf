package estimate

import (
	"math"
	"slices"
)

// sample is one observation: y is about slope*x + base.
type sample struct {
	x, y float64
}

// coefficients of a line.
type coefficients struct {
	slope, base float64
}

func (c coefficients) at(x float64) float64 { return c.slope*x + c.base }

// line estimates a line from the newest observations, by least squares with weights
// that fall to nothing for those far off (Tukey's biweight), sooner for those that
// took too long than for those that were too short: what an instance does not know
// of lengthens times. It is bound to its prior as if by priorWeight observations. The
// slope is above zero, the base not below it.
type line struct {
	prior coefficients
	// heardSlope and heardBase are what others told, which is the prior once there
	// is any.
	heardSlope, heardBase mean
	samples               []sample
	next                  int
	fitted                coefficients
	// unfitted counts the observations, and words of others, since fitted.
	unfitted int
}

const (
	// keepSamples is how many observations are kept: with a few a second, those of
	// some ten seconds.
	keepSamples = 64
	// refitAt is how many new observations have a line that has many fitted anew.
	refitAt = 4
	// priorWeight is the number of observations that the prior counts as.
	priorWeight = 0.5
	// rounds of weighting; the coefficients settle within five.
	rounds = 5
	// cutAt is where an observation counts nothing, in standard deviations as the
	// median of the residuals has them: the usual constant of the biweight for those
	// that are too short, half of it for those that are too long.
	cutAt     = 4.685
	cutLongAt = cutAt / 2
	// normalMAD turns a median of absolute residuals into a standard deviation.
	normalMAD = 1.4826
	// startAt is the quantile of the observations that the fit starts from: below
	// the median, as times err to the long side.
	startAt = 0.4
	// leastDeviation is the least standard deviation, as a part of the observations'
	// median: times that agree to less do so by chance.
	leastDeviation = 0.02
	// leastScale bounds how much faster than the prior engines may be: it keeps
	// times above zero whatever is observed.
	leastScale = 1e-3
)

func (l *line) add(s sample) {
	l.unfitted++
	if len(l.samples) < keepSamples {
		l.samples = append(l.samples, s)
		return
	}
	l.samples[l.next] = s
	l.next = (l.next + 1) % keepSamples
}

// estimate returns the line.
func (l *line) estimate() coefficients {
	if len(l.samples) == 0 {
		return l.prior
	}
	if l.unfitted >= refitAt || l.unfitted > 0 && len(l.samples) < keepSamples/2 {
		l.fitted, l.unfitted = l.fit(), 0
	}
	return l.fitted
}

// fit begins with the prior scaled to the observations, which outliers do not move,
// and weights these anew in each round.
func (l *line) fit() coefficients {
	start := l.scaled()
	c := start
	for range rounds {
		c = l.solve(c, start)
	}
	return c
}

// scaled is the prior times what the observations are of it.
func (l *line) scaled() coefficients {
	ratios := []float64{1}
	for _, s := range l.samples {
		if predicted := l.prior.at(s.x); predicted > 0 {
			ratios = append(ratios, s.y/predicted)
		}
	}
	scale := max(leastScale, quantile(ratios, startAt))
	return coefficients{slope: scale * l.prior.slope, base: scale * l.prior.base}
}

// solve returns the weighted least squares around c, pulled towards the start.
func (l *line) solve(c, start coefficients) coefficients {
	deviation := l.deviation(c)
	var w, wx, wy, wxx, wxy, xx float64
	for _, s := range l.samples {
		weight := weightOf(s.y-c.at(s.x), deviation)
		w += weight
		wx += weight * s.x
		wy += weight * s.y
		wxx += weight * s.x * s.x
		wxy += weight * s.x * s.y
		xx += s.x * s.x
	}
	pull := priorWeight * xx / float64(len(l.samples)) // an observation of mean size
	wxx, wxy = wxx+pull, wxy+pull*start.slope
	w, wy = w+priorWeight, wy+priorWeight*start.base
	base := 0.0
	if det := wxx*w - wx*wx; det > 0 {
		base = max(0, (wy*wxx-wxy*wx)/det)
	}
	return coefficients{slope: max(leastScale*l.prior.slope, (wxy-base*wx)/wxx), base: base}
}

func (l *line) deviation(c coefficients) float64 {
	residuals, sizes := make([]float64, len(l.samples)), make([]float64, len(l.samples))
	for i, s := range l.samples {
		residuals[i] = math.Abs(s.y - c.at(s.x))
		sizes[i] = s.y
	}
	return max(normalMAD*quantile(residuals, 0.5), leastDeviation*quantile(sizes, 0.5))
}

// weightOf is what an observation counts, by how much longer it is than predicted.
func weightOf(residual, deviation float64) float64 {
	cut := cutAt * deviation
	if residual > 0 {
		cut = cutLongAt * deviation
	}
	if deviation <= 0 || math.Abs(residual) >= cut {
		return 0
	}
	u := residual / cut
	return (1 - u*u) * (1 - u*u)
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}
