package roles

import "sassafrasfield/internal/config"

// capacity is what the serving engines of a pool can do. Rates are in tokens a
// second.
type capacity struct {
	// prefill and decode are the summed rates of the engines of these roles.
	prefill, decode float64
	// mixed is the engines' count that share their time between both, at the
	// rates below.
	mixed                     float64
	mixedPrefill, mixedDecode float64
}

// rates are the means over the engines that measured theirs; ok is false when
// either is not known at all.
func rates(engines []Engine) (prefill, decode float64, ok bool) {
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

// counts are serving engines by role.
type counts struct {
	prefill, decode, mixed int
}

func count(engines []Engine) counts {
	var c counts
	for _, e := range engines {
		if e.Serving {
			c = c.plus(e.Role, 1)
		}
	}
	return c
}

func (c counts) plus(role config.Role, n int) counts {
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

func (c counts) total() int { return c.prefill + c.decode + c.mixed }

// capable tells whether both kinds of work have an engine.
func (c counts) capable() bool {
	return c.prefill+c.mixed > 0 && c.decode+c.mixed > 0
}

// violation is by how many engines the counts lie outside the bounds.
func (c counts) violation(b Bounds) int {
	return max(0, b.MinPrefill-c.prefill) + max(0, c.prefill-b.MaxPrefill) + max(0, b.MinDecode-c.decode)
}

func (c counts) capacity(settings Settings, prefillRate, decodeRate float64) capacity {
	return capacity{
		prefill: float64(c.prefill) * prefillRate * settings.TargetLoad,
		decode:  float64(c.decode) * decodeRate * settings.TargetLoad,
		mixed:   float64(c.mixed) * settings.MixedShare * settings.TargetLoad,

		mixedPrefill: prefillRate, mixedDecode: decodeRate,
	}
}

// bisections bounds the error of served by 2 to the power of minus this.
const bisections = 24

// served is the share of the demand that the capacity serves in time: the
// largest one at which the mixed engines have time for what the others leave.
func (c capacity) served(prefill, decode float64) float64 {
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

func (c capacity) fits(prefill, decode float64) bool {
	left := max(0, prefill-c.prefill)/c.mixedPrefill + max(0, decode-c.decode)/c.mixedDecode
	return left <= c.mixed
}
