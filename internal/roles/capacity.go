package roles

import "sassafrasfield/internal/config"

// capacity is the processing capacity of a pool's serving engines. Rates are in
// tokens per second.
type capacity struct {
	// prefill and decode are the summed rates of the engines in these roles.
	prefill, decode float64
	// mixed is the number of engines that divide their time between both kinds of
	// work, scaled by the share of time that they can be planned with. Each
	// processes its work at the rates below.
	mixed                     float64
	mixedPrefill, mixedDecode float64
}

// meanRates returns the mean rates of the engines that measured theirs. ok is
// false if no engine measured one of the two.
func meanRates(engines []Engine) (prefill, decode float64, ok bool) {
	prefills, decodes := 0, 0
	for _, e := range engines {
		if e.Reported && e.PrefillRate > 0 {
			prefill += e.PrefillRate
			prefills++
		}
		if e.Reported && e.DecodeRate > 0 {
			decode += e.DecodeRate
			decodes++
		}
	}
	if prefills == 0 || decodes == 0 {
		return 0, 0, false
	}
	return prefill / float64(prefills), decode / float64(decodes), true
}

// roleCounts are the numbers of serving engines by role.
type roleCounts struct {
	prefill, decode, mixed int
}

func countRoles(engines []Engine) roleCounts {
	var c roleCounts
	for _, e := range engines {
		if e.Serving {
			c = c.plus(e.Role, 1)
		}
	}
	return c
}

func (c roleCounts) plus(role config.Role, n int) roleCounts {
	switch role {
	case config.RolePrefill:
		c.prefill += n
	case config.RoleDecode:
		c.decode += n
	default:
		c.mixed += n
	}
	return c
}

func (c roleCounts) total() int { return c.prefill + c.decode + c.mixed }

// servesBoth reports whether there is an engine for prefill and one for decode.
func (c roleCounts) servesBoth() bool {
	return c.prefill+c.mixed > 0 && c.decode+c.mixed > 0
}

// violation returns by how many engines the counts are outside the bounds.
func (c roleCounts) violation(b Bounds) int {
	return max(0, b.MinPrefill-c.prefill) + max(0, c.prefill-b.MaxPrefill) + max(0, b.MinDecode-c.decode)
}

func (c roleCounts) capacity(settings Settings, prefillRate, decodeRate float64) capacity {
	return capacity{
		prefill: float64(c.prefill) * prefillRate * settings.TargetLoad,
		decode:  float64(c.decode) * decodeRate * settings.TargetLoad,
		mixed:   float64(c.mixed) * settings.MixedShare * settings.TargetLoad,

		mixedPrefill: prefillRate, mixedDecode: decodeRate,
	}
}

// bisections is the number of bisection steps in servedShare. The error of the
// result is at most 2^-bisections.
const bisections = 24

// servedShare returns the largest share of the demand that the capacity can serve
// in time: the mixed engines must have time for the work that exceeds the capacity
// of the others.
func (c capacity) servedShare(prefill, decode float64) float64 {
	if c.fits(prefill, decode) {
		return 1
	}
	low, high := 0.0, 1.0
	for range bisections {
		middle := (low + high) / 2
		if c.fits(middle*prefill, middle*decode) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fits reports whether the capacity can serve the whole demand.
func (c capacity) fits(prefill, decode float64) bool {
	excess := max(0, prefill-c.prefill)/c.mixedPrefill + max(0, decode-c.decode)/c.mixedDecode
	return excess <= c.mixed
}
