package entry

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// AdmissionSettings configure which requests the entry admits, and when.
type AdmissionSettings struct {
	// FirstToken is the target for the time to the first token. Default 450ms.
	FirstToken time.Duration `toml:"first_token"`
	// Slack is a factor: a request without a deadline gets the deadline Slack times FirstToken, or twice
	// the prefill time of its prompt on an idle engine if that is longer. Default 1.
	Slack float64 `toml:"slack"`
	// EarlyRefusal refuses requests at once if they are predicted to miss their deadline. Default true.
	EarlyRefusal bool `toml:"early_refusal"`
	// MaxQueue is the maximum number of waiting requests of each model. Default 256.
	MaxQueue int `toml:"max_queue"`
	// MaxWait is the maximum wait in the queue. Default 1s.
	MaxWait time.Duration `toml:"max_wait"`
	// PriorityCredit is the work, in tokens for a share of 1, by which an organisation may exceed its fair
	// share and still use priorities above 0. Default 16384.
	PriorityCredit int `toml:"priority_credit"`
	// Backlog is the maximum time that a request may wait at an engine before its prefill starts. Requests
	// that would wait longer stay in the entry's queue. 0 means no bound. Default 225ms.
	Backlog time.Duration `toml:"backlog"`
	// ReviewEvery is the interval at which the waiting requests are reviewed. Default 50ms.
	ReviewEvery time.Duration `toml:"review_every"`
	// LimitConcurrency limits the requests in flight according to the engines' reports; further requests
	// wait in the queue. Default true.
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
