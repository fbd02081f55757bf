package streamversions

import "time"

// Answer is what one instance tells another one about a stream and its service.
type Answer struct {
	Knowledge
	// SeveralVersions is set if the service has had several versions within MaxLifetime, as far as the instance knows.
	SeveralVersions bool
}

// View is what an instance knows about the versions of a stream's service.
type View struct {
	// Versions are those of the service within MaxLifetime.
	Versions []string
	// KnownFor is for how long this instance has known upstreams of the service.
	KnownFor time.Duration
	// Asked is the number of instances that were asked, Answered of those that answered.
	Asked, Answered int
}

// SeveralVersions reports whether the service has had several versions.
func (v View) SeveralVersions() bool { return len(v.Versions) > 1 }

// Resolve returns the version that began a stream, from the answers of other instances. It returns false if the version
// is not known. Without a record, the only version that this instance knows began the stream, unless another instance
// knows several, or none of those that were asked answered: this instance's entries may be out of date.
func Resolve(v View, answers []Answer) (Knowledge, bool) {
	cutOff := v.Asked > 0 && len(answers) == 0
	all := Merge(Answer{SeveralVersions: v.SeveralVersions()}, answers)
	switch {
	case all.Found:
		all.Source = SourceInstance
		return all.Knowledge, true
	case all.Ambiguous || all.SeveralVersions || cutOff || len(v.Versions) != 1:
		return Knowledge{}, false
	default:
		return Knowledge{Found: true, Version: v.Versions[0], Source: SourceOnlyVersion}, true
	}
}

// Merge adds the answers of other instances to an answer. Answers that name different versions make it ambiguous.
func Merge(a Answer, others []Answer) Answer {
	for _, other := range others {
		a.SeveralVersions = a.SeveralVersions || other.SeveralVersions
		switch {
		case other.Ambiguous || a.Found && other.Found && a.Version != other.Version:
			a.Knowledge = Knowledge{Ambiguous: true, Age: other.Age}
		case other.Found && !a.Found && !a.Ambiguous:
			a.Knowledge = other.Knowledge
		}
	}
	return a
}
