package streamversions

import "time"

// Answer is what one instance tells another one about a stream and its service.
type Answer struct {
	Knowledge
	// SeveralVersions is set if the service has had several versions within MaxLifetime, as far as the instance knows.
	SeveralVersions bool
	// OnlyVersion is the version that the service has had, if the instance knows one alone.
	OnlyVersion string
	// Complete is set if the instance knows all versions of the service within MaxLifetime.
	Complete bool
	// Current is set if the instance hears of new versions now: it reads the store, or another instance that does.
	Current bool
}

// View is what an instance knows about the versions of a stream's service.
type View struct {
	// Versions are those of the service within MaxLifetime.
	Versions []string
	// Complete is set if no other version served within MaxLifetime.
	Complete bool
	// Current is set if this instance hears of new versions now.
	Current bool
	// KnownFor is for how long this instance has known upstreams of the service.
	KnownFor time.Duration
	// Asked is the number of instances that were asked, Answered of those that answered.
	Asked, Answered int
}

// SeveralVersions reports whether the service has had several versions.
func (v View) SeveralVersions() bool { return len(v.Versions) > 1 }

// Answer returns what an instance with this view tells others.
func (v View) Answer(k Knowledge) Answer {
	a := Answer{Knowledge: k, SeveralVersions: v.SeveralVersions(), Complete: v.Complete, Current: v.Current}
	if len(v.Versions) == 1 {
		a.OnlyVersion = v.Versions[0]
	}
	return a
}

// Resolve returns the version that began a stream, from the answers of other instances. It returns false if the version
// is not known. Without a record, the only version that this instance knows began the stream, unless another instance
// knows another one, none of those that were asked answered, or none of them all knows the versions of the time before
// it started: that nothing is known of another version does not mean that there was none. The same holds if none of them hears of new
// versions now and one did not answer: it may be on the side of the store.
func Resolve(v View, answers []Answer) (Knowledge, bool) {
	cutOff := v.Asked > 0 && len(answers) == 0
	all := Merge(v.Answer(Knowledge{}), answers)
	outOfStep := !all.Current && len(answers) < v.Asked
	switch {
	case all.Found:
		all.Source = SourceInstance
		return all.Knowledge, true
	case all.Ambiguous || all.SeveralVersions || cutOff || outOfStep || len(v.Versions) != 1 || !all.Complete:
		return Knowledge{}, false
	default:
		return Knowledge{Found: true, Version: v.Versions[0], Source: SourceOnlyVersion}, true
	}
}

// Merge adds the answers of other instances to an answer. Answers that name different versions make it ambiguous.
func Merge(a Answer, others []Answer) Answer {
	for _, other := range others {
		a.Complete, a.Current = a.Complete || other.Complete, a.Current || other.Current
		a.SeveralVersions = a.SeveralVersions || other.SeveralVersions || a.OnlyVersion != "" && other.OnlyVersion != "" && a.OnlyVersion != other.OnlyVersion
		if a.OnlyVersion == "" {
			a.OnlyVersion = other.OnlyVersion
		}
		switch {
		case other.Ambiguous || a.Found && other.Found && a.Version != other.Version:
			a.Knowledge = Knowledge{Ambiguous: true, Age: other.Age}
		case other.Found && !a.Found && !a.Ambiguous:
			a.Knowledge = other.Knowledge
		}
	}
	return a
}
