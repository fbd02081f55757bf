package picture

import (
	"time"

	"sassafrasfield/internal/quota"
)

// Announced takes what an upstream's answer says of its limit, and returns what that changes.
// An answer of a start of it that is over says nothing of the one that is there now.
func (p *Picture) Announced(from Upstream, a quota.Announcement, now time.Duration) (quota.Change, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := from.Incarnation()
	if n, ok := p.nodes[from.ID]; ok && n.hash != hash {
		return quota.Change{}, false
	}
	change, changed := p.limits.Announced(hash, a, now)
	if changed {
		p.settings.Changed()
	}
	return change, changed
}

// NameOf returns the id of the upstream with a hash; empty when it is not listed.
func (p *Picture) NameOf(hash uint32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.byHash[hash]; ok {
		return n.ID
	}
	return ""
}
