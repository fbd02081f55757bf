package entry

import (
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// RateSettings configure how an organisation's rate is divided among the entries.
type RateSettings struct {
	// Floor is the fraction of the rate, from 0 to 1, that is divided equally among the entries whatever
	// their traffic. Default 0.1.
	Floor float64 `toml:"floor"`
	// Window is the time constant of the measured demand. Default 1s.
	Window time.Duration `toml:"window"`
	// SmallestBurst is the minimum burst of requests that each entry accepts, if the organisation's burst
	// is at least that large. Default 4.
	SmallestBurst int `toml:"smallest_burst"`
	// KeepTotals is how long the total demand received from sf-control is used; after that the rate is
	// divided equally. Default 5s.
	KeepTotals time.Duration `toml:"keep_totals"`
}

func defaultRate() RateSettings {
	return RateSettings{Floor: 0.1, Window: time.Second, SmallestBurst: 4, KeepTotals: 5 * time.Second}
}

func (r *RateSettings) check(file *tomlfile.File) {
	floatBetween(file, "rate.floor", r.Floor, 0, 1)
	settings.Between(file, "rate.window", r.Window, 100*time.Millisecond, time.Minute)
	settings.IntBetween(file, "rate.smallest_burst", r.SmallestBurst, 1, 1000)
	settings.Between(file, "rate.keep_totals", r.KeepTotals, 100*time.Millisecond, 10*time.Minute)
}

// rates is the entry's rate limiter. It is safe for concurrent use.
type rates struct {
	mu      sync.Mutex // protects limiter
	limiter *limit.Limiter
}

func newRates(s RateSettings) *rates {
	return &rates{limiter: limit.New(limit.Options{
		Floor: s.Floor, Window: s.Window, MinBurst: float64(s.SmallestBurst), TotalsTTL: s.KeepTotals,
	})}
}

func (r *rates) take(o *config.Organisation, now time.Duration) limit.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Take(o.Name, ruleOf(o), now)
}

func (r *rates) takeWithDebt(o *config.Organisation, now time.Duration) limit.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.TakeWithDebt(o.Name, ruleOf(o), now)
}

func ruleOf(o *config.Organisation) limit.Rule {
	return limit.Rule{Rate: o.RequestsPerSecond, Burst: float64(o.Burst)}
}

// Headers of the caller protocol that describe the rate limit.
const (
	headerLimit     = "X-Ratelimit-Limit-Requests"
	headerRemaining = "X-Ratelimit-Remaining-Requests"
	headerReset     = "X-Ratelimit-Reset-Requests"
)

// withinRate takes one request from the organisation's rate, or returns a refusal. A request that was
// accepted earlier, such as a resumed one, has precedence and may exceed the limit by one more burst.
func (s *Server) withinRate(c *echo.Context, o *config.Organisation, accepted bool) error {
	decide := s.rates.take
	if accepted {
		decide = s.rates.takeWithDebt
	}
	verdict := decide(o, s.now())
	if !verdict.Limited {
		return nil
	}
	header := c.Response().Header()
	header.Set(headerLimit, strconv.Itoa(int(math.Round(verdict.Limit*60))))
	header.Set(headerRemaining, strconv.Itoa(verdict.Remaining))
	header.Set(headerReset, verdict.Reset.Round(time.Millisecond).String())
	if verdict.Allowed {
		return nil
	}
	message := fmt.Sprintf("the organisation is over its %g requests a second", verdict.Limit)
	return tooMany(message, verdict.RetryIn)
}
