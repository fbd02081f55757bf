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

// line fits a line to the newest observations by weighted least squares. The weights fall to zero
// for outliers (Tukey's biweight). Times that are too long are cut off sooner than times that are
// too short, because conditions unknown to the instance only lengthen times. The prior has the
// weight of priorWeight observations. The slope is positive and the base is not negative.
type line struct {
	prior coefficients
	// receivedSlope and receivedBase are the means of what other instances reported. They replace
	// the prior once there are any.
	receivedSlope, receivedBase mean
	samples                     []sample
	next                        int
	fitted                      coefficients
	// unfitted counts the observations and the reports of others since the last fit.
	unfitted int
}

const (
	// maxSamples is the number of observations kept: about ten seconds' worth at a few a second.
	maxSamples = 64
	// refitAt is the number of new observations after which a line with many observations is fitted
	// again.
	refitAt = 4
	// priorWeight is the number of observations that the prior counts as.
	priorWeight = 0.5
	// rounds of reweighting; the coefficients settle within five.
	rounds = 5
	// cutoffShort and cutoffLong are the residuals from which an observation has no weight, in
	// standard deviations estimated from the median of the residuals. For times that are too short
	// it is the usual constant of the biweight, for times that are too long half of it.
	cutoffShort = 4.685
	cutoffLong  = cutoffShort / 2
	// normalMAD converts a median of absolute residuals to a standard deviation.
	normalMAD = 1.4826
	// startQuantile is the quantile of the observations with which the fit starts. It is below the
	// median because errors mostly lengthen times.
	startQuantile = 0.4
	// minDeviation is the smallest standard deviation, as a fraction of the observations' median.
	// Times that agree more closely do so by chance.
	minDeviation = 0.02
	// minScale bounds how much faster than the prior engines may be. It keeps times above zero
	// whatever is observed.
	minScale = 1e-3
)

func (l *line) add(s sample) {
	l.unfitted++
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
		return
	}
	l.samples[l.next] = s
	l.next = (l.next + 1) % maxSamples
}

// estimate returns the fitted line, or the prior without observations.
func (l *line) estimate() coefficients {
	if len(l.samples) == 0 {
		return l.prior
	}
	if l.unfitted >= refitAt || l.unfitted > 0 && len(l.samples) < maxSamples/2 {
		l.fitted, l.unfitted = l.fit(), 0
	}
	return l.fitted
}

// fit starts from the prior scaled to the observations, which is robust to outliers, and recomputes
// the weights in each round.
func (l *line) fit() coefficients {
	start := l.scaledPrior()
	c := start
	for range rounds {
		c = l.solve(c, start)
	}
	return c
}

// scaledPrior returns the prior times the startQuantile of the ratios of observed to predicted
// values.
func (l *line) scaledPrior() coefficients {
	ratios := []float64{1}
	for _, s := range l.samples {
		if predicted := l.prior.at(s.x); predicted > 0 {
			ratios = append(ratios, s.y/predicted)
		}
	}
	scale := max(minScale, quantile(ratios, startQuantile))
	return coefficients{slope: scale * l.prior.slope, base: scale * l.prior.base}
}

// solve returns the weighted least-squares solution with weights from the residuals of c,
// regularized towards start.
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
	return coefficients{slope: max(minScale*l.prior.slope, (wxy-base*wx)/wxx), base: base}
}

func (l *line) deviation(c coefficients) float64 {
	residuals, sizes := make([]float64, len(l.samples)), make([]float64, len(l.samples))
	for i, s := range l.samples {
		residuals[i] = math.Abs(s.y - c.at(s.x))
		sizes[i] = s.y
	}
	return max(normalMAD*quantile(residuals, 0.5), minDeviation*quantile(sizes, 0.5))
}

// weightOf returns the weight of an observation. The residual is positive if it is longer than
// predicted.
func weightOf(residual, deviation float64) float64 {
	cut := cutoffShort * deviation
	if residual > 0 {
		cut = cutoffLong * deviation
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
