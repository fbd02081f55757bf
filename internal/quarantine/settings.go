package quarantine

import "time"

// Rules decide about one kind of subject.
type Rules struct {
	// Crashes is how many upstreams must crash under a subject before it is quarantined; ServedCrashes is that number
	// for a subject that was served within ServedTTL, and so did not crash upstreams then.
	Crashes, ServedCrashes int
	// Spacing is the least time between two crashes that both count. Upstreams that crash at the same moment under the
	// same subject may have a common cause.
	Spacing time.Duration
	// Immunity is how long after a subject was served no crash counts against it.
	Immunity time.Duration
	// Durations are the durations of a subject's quarantines: of the first one, and of each later one, which begins
	// when one more upstream crashes under the subject after the previous quarantine. The last duration is used for
	// all further ones.
	Durations []time.Duration
	// ReportedDurations replace Durations at all instances but one that observed a crash, so that this one tries the
	// subject again before the others do. Each instance adds up to as much again, at random. Nil for Durations.
	ReportedDurations []time.Duration
}

// Settings of a Table.
type Settings struct {
	Contents, Parts Rules
	// CrashTTL is how long a crash counts. HistoryTTL is how long after the end of a quarantine the table keeps the
	// number of the subject's quarantines.
	CrashTTL, HistoryTTL time.Duration
	// ServedTTL is how long the table remembers at least that a subject was served.
	ServedTTL time.Duration
	// TrialTTL is how long after a quarantine the request that tries the subject again keeps others from doing so.
	TrialTTL time.Duration
	// MaxServed is the maximum number of served subjects that are kept in each ServedTTL.
	MaxServed int
	// MaxRecords is the maximum number of subjects with crashes that are kept, MaxQuarantined that of subjects that
	// are or were quarantined. The oldest are dropped.
	MaxRecords, MaxQuarantined int
	// Seed makes the random choices of instances differ.
	Seed uint64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Contents: Rules{
			// One crash is not enough: an engine that crashed was serving up to 48 requests.
			Crashes: 2, ServedCrashes: 2,
			Immunity: time.Minute, // content that is requested less often is hardly served by two upstreams that crash
			// The first is short because the content may not be the cause: where all callers request the same, each
			// upstream that another content crashes is also serving it. The last is about as long as upstreams run
			// the same software.
			Durations: []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour},
		},
		Parts: Rules{
			Crashes: 2, ServedCrashes: 3,
			Spacing:           500 * time.Millisecond, // two reports, in which others say that they served the part
			Immunity:          2 * time.Second,
			Durations:         []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour},
			ReportedDurations: []time.Duration{time.Hour, time.Hour, 24 * time.Hour},
		},
		CrashTTL:       10 * time.Minute, // callers that retry do so within seconds
		HistoryTTL:     24 * time.Hour,
		ServedTTL:      time.Minute,
		TrialTTL:       5 * time.Second, // longer than the check whether an upstream has crashed
		MaxServed:      1 << 16,         // a minute of 130 requests a second with eight parts, in 4 MB
		MaxRecords:     1 << 14,         // 80 engines that crash at once, with 200 contents and parts each
		MaxQuarantined: 1000,            // rows of some 100 bytes; an instance reads two pages of them at its start
	}
}
