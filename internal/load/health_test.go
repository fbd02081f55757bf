package load

import (
	"testing"
	"time"

	"sassafrasfield/internal/engine"
)

func TestFailingUpstreamIsEjectedAndComesBackGradually(t *testing.T) {
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
		t.Fatal("a stream from before the ejection prolonged it")
	}
	back := second + rules.EjectFor
	if !h.Admits(back) {
		t.Fatal("no probe after the ejection")
	}
	table.Place("e", Placement{ID: "probe", At: back})
	if h.Admits(back) {
		t.Fatal("a second request beside the probe")
	}
	table.Failed("e", back)
	table.End("e", "probe", back)
	if h.Admits(back+rules.EjectFor) || !h.Admits(back+2*rules.EjectFor) {
		t.Fatal("a failed probe does not double the ejection")
	}
	now := back + 2*rules.EjectFor
	for room := 1; room < rules.RecoveredAt; room *= 2 {
		n := 0
		for ; h.Admits(now); n++ {
			table.Place("e", Placement{ID: string(rune('a' + n)), At: now})
		}
		if n != room {
			t.Fatalf("%d requests at a time, want %d", n, room)
		}
		table.Succeeded("e")
		for i := range n {
			table.End("e", string(rune('a'+i)), now)
		}
	}
	if h.room != 0 || !h.Admits(now) {
		t.Fatal("not whole after the probes went well")
	}
}

func TestSilentEngineComesBackGradually(t *testing.T) {
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
		t.Fatal("the same report again counts as a sign of life")
	}
	now := second + 2*silent
	table.Reported("e", report("b", 2, 0), now)
	table.Place("e", Placement{ID: "probe", At: now})
	if table.Upstream("e").Health.Admits(now) {
		t.Fatal("more than a probe after the silence")
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
		t.Fatal("a dropped block is still believed")
	}
	p.Apply(engine.CacheEvents{Boot: "b1", Events: []engine.CacheEvent{stored(9, 20)}})
	if p.Cached([]uint64{11}) != 0 || p.Cached([]uint64{20}) != 1 {
		t.Fatal("a gap keeps old beliefs, or drops the new one")
	}
	p.Apply(engine.CacheEvents{Boot: "b2"})
	if p.Len() != 0 || p.LastSeq() != 0 {
		t.Fatal("a restart keeps beliefs")
	}
	for i := range uint64(3 * prefixesKept) {
		p.AssumeCached([]uint64{i, 1})
	}
	if p.Len() > prefixesKept || len(p.order) > 2*prefixesKept || p.Cached([]uint64{1}) != 1 {
		t.Fatalf("%d beliefs, %d in order", p.Len(), len(p.order))
	}
}
