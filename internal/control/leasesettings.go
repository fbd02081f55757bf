package control

import (
	"time"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// LeaseSettings configure the leases of pools, and the orders that are sent
// under them.
type LeaseSettings struct {
	// Term is how long a lease is valid after a renewal. Default 3s.
	Term time.Duration `toml:"term"`
	// RenewEvery is the time between renewals, and between the reads of the
	// instances that watch a lease most closely. Default 1s.
	RenewEvery time.Duration `toml:"renew_every"`
	// RetryEvery is the time between attempts after a failed one. Default 200ms.
	RetryEvery time.Duration `toml:"retry_every"`
	// CallTimeout bounds each read and write of a lease. Default 1.5s.
	CallTimeout time.Duration `toml:"call_timeout"`
	// Margin is how long a challenger waits in addition to the term. Default
	// 300ms.
	Margin time.Duration `toml:"margin"`
	// Watchers is how many instances watch a pool's lease. Default 8.
	Watchers int `toml:"watchers"`
	// RankDelay is how much longer each watcher waits than the one that ranks
	// before it. Default 300ms.
	RankDelay time.Duration `toml:"rank_delay"`
	// HandBackAfter is the minimum time that a lease stays with its holder, and
	// that the first choice for it must have ranked first, before the lease is
	// handed back. Default 10s.
	HandBackAfter time.Duration `toml:"hand_back_after"`
	// SendGuard is how long before the end of the term an unanswered order is
	// aborted. No order is sent after that time. Default 200ms.
	SendGuard time.Duration `toml:"send_guard"`
	// KillTimer selects the engines for which this process arms a kernel timer
	// during a send, which kills the process if it is frozen until its term ends:
	// "all", or "ignore" for only those engines that ignore fencing numbers.
	// Default "all".
	KillTimer string `toml:"kill_timer"`
}

// Values of KillTimer.
const (
	killTimerAll    = "all"
	killTimerIgnore = "ignore"
)

func defaultLeaseSettings() LeaseSettings {
	return LeaseSettings{
		Term: 3 * time.Second, RenewEvery: time.Second, RetryEvery: 200 * time.Millisecond,
		CallTimeout: 1500 * time.Millisecond, Margin: 300 * time.Millisecond,
		Watchers: 8, RankDelay: 300 * time.Millisecond, HandBackAfter: 10 * time.Second,
		SendGuard: 200 * time.Millisecond, KillTimer: killTimerAll,
	}
}

func (s LeaseSettings) check(file *tomlfile.File) {
	settings.Between(file, "lease.term", s.Term, 100*time.Millisecond, maxDuration)
	settings.Between(file, "lease.renew_every", s.RenewEvery, minDuration, s.Term/2)
	settings.Between(file, "lease.retry_every", s.RetryEvery, minDuration, s.Term/2)
	settings.Between(file, "lease.call_timeout", s.CallTimeout, minDuration, s.Term)
	settings.Between(file, "lease.margin", s.Margin, minDuration, maxDuration)
	settings.IntBetween(file, "lease.watchers", s.Watchers, 1, maxWatchers)
	settings.Between(file, "lease.rank_delay", s.RankDelay, minDuration, maxDuration)
	settings.Between(file, "lease.hand_back_after", s.HandBackAfter, minDuration, time.Hour)
	settings.Between(file, "lease.send_guard", s.SendGuard, minDuration, s.Term/2)
	if s.KillTimer != killTimerAll && s.KillTimer != killTimerIgnore {
		file.Add("lease.kill_timer", "want %q or %q, not %q", killTimerAll, killTimerIgnore, s.KillTimer)
	}
}

// maxWatchers bounds the read period, which doubles with each rank.
const maxWatchers = 16

func (s LeaseSettings) machineSettings() lease.Settings {
	return lease.Settings{Term: s.Term, RenewEvery: s.RenewEvery, RetryEvery: s.RetryEvery, Margin: s.Margin}
}

func (s LeaseSettings) rankSettings() lease.RankSettings {
	return lease.RankSettings{Watchers: s.Watchers, ReadEvery: s.RenewEvery, RankDelay: s.RankDelay}
}
