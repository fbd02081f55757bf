package entry

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// AdmissionSettings set what the entry takes, and when.
type AdmissionSettings struct {
	// FirstToken is the target for the time to the first token. Default 450ms.
	FirstToken time.Duration `toml:"first_token"`
	// Slack times FirstToken is the deadline of a request without one of its
	// own, or twice the time that its prompt takes on an idle engine if that is
	// longer. Default 1.
	Slack float64 `toml:"slack"`
	// EarlyRefusal refuses at once what can't make its deadline by the
	// prediction. Default true.
	EarlyRefusal bool `toml:"early_refusal"`
	// MaxQueue bounds the requests that wait, for each model. Default 256.
	MaxQueue int `toml:"max_queue"`
	// MaxWait bounds the wait in the queue. Default 1s.
	MaxWait time.Duration `toml:"max_wait"`
	// PriorityCredit is the work, in tokens for a share of 1, that an
	// organisation may be ahead of its fair share and still have the use of
	// its priorities above 0. Default 16384.
	PriorityCredit int `toml:"priority_credit"`
	// Backlog is how long a request may wait at an engine before its prompt is
	// begun; while it would be longer, requests wait in the entry's queue. 0 is
	// no bound. Default 225ms.
	Backlog time.Duration `toml:"backlog"`
	// ReviewEvery is the time between looks at those who wait. Default 50ms.
	ReviewEvery time.Duration `toml:"review_every"`
	// LimitConcurrency bounds the requests in flight by the engines' reports;
	// the others wait in the queue. Default true.
	LimitConcurrency bool `toml:"limit_concurrency"`
}

func defaultAdmission() AdmissionSettings {
	return AdmissionSettings{
		FirstToken: 450 * time.Millisecond, Slack: 1, EarlyRefusal: true,
		Backlog: 225 * time.Millisecond, ReviewEvery: 50 * time.Millisecond,
		MaxQueue: 256, MaxWait: time.Second, PriorityCredit: 16384, LimitConcurrency: true,
	}
}

func (a *AdmissionSettings) check(file *tomlfile.File) {
	settings.Between(file, "admission.first_token", a.FirstToken, time.Millisecond, time.Minute)
	floatBetween(file, "admission.slack", a.Slack, 1, 1000)
	settings.Between(file, "admission.backlog", a.Backlog, 0, time.Minute)
	settings.Between(file, "admission.review_every", a.ReviewEvery, time.Millisecond, time.Minute)
	settings.IntBetween(file, "admission.max_queue", a.MaxQueue, 0, 65536)
	settings.Between(file, "admission.max_wait", a.MaxWait, 0, 10*time.Minute)
	settings.IntBetween(file, "admission.priority_credit", a.PriorityCredit, 0, 1<<30)
}
