package load

import (
	"testing"
	"time"

	"sassafrasfield/internal/engine"
)

func TestFailingUpstreamIsEjectedAndRecoversGradually(t *testing.T) {
	table := NewTable()
	rules := table.Outliers
	h := &table.Upstream("e").Health
	table.Failed("e", second)
	table.Succeeded("e")
	if table.Failed("e", second); !h.Admits(second) {
		t.Fatal("ejected by failures that were not in a row")
	}
	if !table.Failed("e", second) || h.Admits(second) {
		t.Fatal("not ejected by failures in a row")
	}
	if table.Failed("e", second) {
		t.Fatal("a failure of a stream that began before the ejection prolonged it")
	}
	ejectionEnd := second + rules.EjectFor
	if !h.Admits(ejectionEnd) {
		t.Fatal("no probe after the ejection")
	}
	table.Place("e", Placement{ID: "probe", At: ejectionEnd})
	if h.Admits(ejectionEnd) {
		t.Fatal("admitted a second request during the probe")
	}
	table.Failed("e", ejectionEnd)
	table.End("e", "probe", ejectionEnd)
	if h.Admits(ejectionEnd+rules.EjectFor) || !h.Admits(ejectionEnd+2*rules.EjectFor) {
		t.Fatal("a failed probe did not double the ejection")
	}
	now := ejectionEnd + 2*rules.EjectFor
	for limit := 1; limit < rules.RecoveredAt; limit *= 2 {
		n := 0
		for ; h.Admits(now); n++ {
			table.Place("e", Placement{ID: string(rune('a' + n)), At: now})
		}
		if n != limit {
			t.Fatalf("%d requests at a time, want %d", n, limit)
		}
		table.Succeeded("e")
		for i := range n {
			table.End("e", string(rune('a'+i)), now)
		}
	}
	if h.probeLimit != 0 || !h.Admits(now) {
		t.Fatal("not healthy after the probes succeeded")
	}
}

func TestSilentEngineRecoversGradually(t *testing.T) {
	table := NewTable()
	silent := table.Outliers.SilentFor
	if table.Silent("e", time.Hour) {
		t.Fatal("an engine that never reported counts as silent")
	}
	table.Reported("e", report("b", 1, 0), second)
	if table.Silent("e", second+silent) || !table.Silent("e", second+silent+1) {
		t.Fatal("silent at the wrong time")
	}
	table.Reported("e", report("b", 1, 0), second+silent+1)
	if !table.Silent("e", second+silent+1) {
		t.Fatal("a repeated report ended the silence")
	}
	now := second + 2*silent
	table.Reported("e", report("b", 2, 0), now)
	table.Place("e", Placement{ID: "probe", At: now})
	if table.Upstream("e").Health.Admits(now) {
		t.Fatal("admitted more than one probe after the silence")
	}
}

func stored(seq int64, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Seq: seq, Block: block, Stored: true}
}

func TestPrefixHintsDropAtGapsAndRestarts(t *testing.T) {
	var p Prefixes
	p.Apply(engine.CacheEvents{Boot: "b1", Events: []engine.CacheEvent{stored(4, 10), stored(5, 11), stored(6, 12)}})
	if n := p.Cached([]uint64{10, 11, 99, 12}); n != 2 {
		t.Fatalf("%d blocks cached, want the leading 2", n)
	}
	p.Apply(engine.CacheEvents{Boot: "b1", Events: []engine.CacheEvent{{Seq: 7, Block: 10}, stored(5, 10)}})
	if n := p.Cached([]uint64{10}); n != 0 {
		t.Fatal("an evicted block is still assumed cached")
	}
	p.Apply(engine.CacheEvents{Boot: "b1", Events: []engine.CacheEvent{stored(9, 20)}})
	if p.Cached([]uint64{11}) != 0 || p.Cached([]uint64{20}) != 1 {
		t.Fatal("a gap did not discard the old blocks, or discarded the new one")
	}
	p.Apply(engine.CacheEvents{Boot: "b2"})
	if p.Len() != 0 || p.LastSeq() != 0 {
		t.Fatal("a restart did not discard the blocks")
	}
	for i := range uint64(3 * maxPrefixBlocks) {
		p.AssumeCached([]uint64{i, 1})
	}
	if p.Len() > maxPrefixBlocks || len(p.order) > 2*maxPrefixBlocks || p.Cached([]uint64{1}) != 1 {
		t.Fatalf("%d blocks, %d in order", p.Len(), len(p.order))
	}
}
