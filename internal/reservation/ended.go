package reservation

// endedGeneration is the number of ended prompts after which the older half is forgotten: 3 s of the prompts of
// the largest fleet. Repeated messages arrive within some 100 ms.
const endedGeneration = 4096

// endedIDs remembers the grants of the last ended prompts, so that messages that arrive again or late do not
// record them again.
type endedIDs struct {
	recent, older map[uint64]Grant
}

func newEndedIDs() endedIDs {
	return endedIDs{recent: map[uint64]Grant{}}
}

// grant returns the grant of an ended prompt. It is zero except for the engine if the prompt ended before it was
// placed.
func (e *endedIDs) grant(id uint64) (Grant, bool) {
	if grant, ok := e.recent[id]; ok {
		return grant, true
	}
	grant, ok := e.older[id]
	return grant, ok
}

func (e *endedIDs) add(id uint64, grant Grant) {
	if len(e.recent) >= endedGeneration {
		e.older, e.recent = e.recent, make(map[uint64]Grant, endedGeneration)
	}
	e.recent[id] = grant
}
