package peers

import (
	"testing"
	"time"

	"sassafrasfield/internal/streamversions"
)

// TestAnswerToEarlierProcessIsIgnored guards against a stream that goes on at the version of another one: an instance
// restarted, and the answer to a question of its earlier process was taken for the answer to its own.
func TestAnswerToEarlierProcessIsIgnored(t *testing.T) {
	t.Parallel()
	f := newVirtualFleet(2, 1, 0, 1)
	f.run(2 * startupTime)
	asked, stream := f.nodes[0], func(id string) streamversions.ID { return streamversions.IDOf(id) }
	asked.begin("earlier", "v1")
	asked.begin("later", "v2")

	asked.frozen = true
	ask := func(id string) <-chan streamversions.Answer {
		question, answer := f.nodes[1].streamRequests.register()
		f.nodes[1].sendStreamAsk(question, stream(id), 0, false, asked.exchange.self.Address)
		return answer
	}
	ask("earlier")
	f.start(1, 1)
	f.run(startupTime)
	answer := ask("later")
	asked.frozen = false
	f.run(time.Second)

	select {
	case got := <-answer:
		if !got.Found || got.Version != "v2" {
			t.Errorf("the answer names version %q, want v2", got.Version)
		}
	default:
		t.Error("no answer")
	}
}
