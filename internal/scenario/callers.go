package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testservers"
)

// stallTimeout is how long a caller waits for the next event before it resumes at another instance.
const stallTimeout = 4 * time.Second

// retryDelay is the caller's delay before a retry.
const retryDelay = 100 * time.Millisecond

// chatRecord is the record that a caller keeps of one streamed request.
type chatRecord struct {
	name string
	chat testcaller.Chat
	// text is the received text of all attempts.
	text string
	// complete is true if the closing event was received.
	complete bool
	// notRun is true when each attempt was answered "not run".
	notRun bool
	// versionRemoved is true if the answer broke off and the entry then reported that no engine serves the
	// model version that began it any more, because the version was replaced meanwhile.
	versionRemoved bool
}

// callRecord is the record that a caller keeps of one call that may run at most once.
type callRecord struct {
	body   string
	keyed  bool
	answer string
	// notRun is true when each attempt was answered "not run".
	notRun bool
	// conflicting is true if two answers under one key differed.
	conflicting bool
}

// callerRecords are the records of all callers.
type callerRecords struct {
	mu    sync.Mutex // protects all below
	chats []*chatRecord
	calls []*callRecord
}

// callers send requests until they are stopped, and then complete the ones they began.
type callers struct {
	harness *Harness
	book    *callerRecords
	ctx     context.Context
	stop    chan struct{}
	work    sync.WaitGroup
}

// startCallers starts callers whose request names and choices are determined by the seed.
func startCallers(ctx context.Context, h *Harness, b *callerRecords, round string, seed uint64, count int) *callers {
	c := &callers{harness: h, book: b, ctx: ctx, stop: make(chan struct{})}
	for n := range count {
		c.work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for sent := 0; !c.stopped(); sent++ {
				c.request(fmt.Sprintf("%s-%d-%d", round, n, sent), rng)
			}
		})
	}
	return c
}

func (c *callers) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return c.ctx.Err() != nil
	}
}

// finish stops the callers and waits until each has completed its request.
func (c *callers) finish() {
	close(c.stop)
	c.work.Wait()
}

func (c *callers) request(name string, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		c.call(name, true, rng)
	case 1:
		c.call(name, false, rng)
	default:
		c.stream(name, rng)
	}
}

func (c *callers) entry(rng *rand.Rand) string {
	instances := c.harness.Fleet.Instances
	return instances[rng.IntN(len(instances))].EntryAddress
}

// stream retries until the answer is complete, resuming where it broke off. It gives up a request without any
// received text when the callers are stopped.
func (c *callers) stream(name string, rng *rand.Rand) {
	record := &chatRecord{name: name, notRun: true, chat: testcaller.Chat{
		Model: ModelName, Prompt: testservers.CountedPromptMark + name + " what does the ledger say?",
		MaxTokens: 20 + rng.IntN(60), Seed: int64(rng.IntN(1 << 30)),
	}}
	for c.ctx.Err() == nil && !record.complete && !record.versionRemoved {
		if record.text == "" && c.stopped() {
			break
		}
		c.attempt(record, c.entry(rng))
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.book.chats = append(c.book.chats, record)
}

func (c *callers) attempt(record *chatRecord, entry string) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stallTimer := time.AfterFunc(stallTimeout, cancel)
	defer stallTimer.Stop()
	answer, err := c.harness.Caller.Stream(ctx, entry, record.chat, func(string, string) { stallTimer.Reset(stallTimeout) })
	record.text += answer.Text
	record.complete = answer.Done
	if answer.LastID != "" {
		record.chat.LastEventID = answer.LastID
	}
	refused := err == nil && answer.Error != nil && answer.Error.Outcome == callerapi.OutcomeNotRun
	if !refused && !neverSent(err) {
		record.notRun = false
	}
	record.versionRemoved = answer.Error != nil && answer.Error.Code == "cannot_resume"
	if !record.complete {
		time.Sleep(retryDelay)
	}
}

// call issues a certificate. With a key it retries up to 8 times in all until it is answered; without a key
// it sends a single request.
func (c *callers) call(name string, keyed bool, rng *rand.Rand) {
	record := &callRecord{body: fmt.Sprintf(`{"certificate": %q}`, name), keyed: keyed, notRun: true}
	header := http.Header{}
	attempts := 1
	if keyed {
		header.Set("Idempotency-Key", name)
		attempts = 8
	}
	for range attempts {
		if c.tryCall(record, c.entry(rng), header) || c.ctx.Err() != nil {
			break
		}
		time.Sleep(retryDelay)
	}
	if keyed && record.answer != "" {
		c.tryCall(record, c.entry(rng), header) // a repeated request must get the same answer
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	c.book.calls = append(c.book.calls, record)
}

// tryCall sends one call and reports whether it was answered.
func (c *callers) tryCall(record *callRecord, entry string, header http.Header) bool {
	ctx, cancel := context.WithTimeout(c.ctx, 2*stallTimeout)
	defer cancel()
	res, err := c.harness.Caller.Post(ctx, entry, "/bales/certificates", header, []byte(record.body))
	if err != nil {
		record.notRun = record.notRun && neverSent(err)
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if res.Header.Get(callerapi.HeaderOutcome) != string(callerapi.OutcomeNotRun) {
		record.notRun = false
	}
	if err != nil || res.StatusCode != http.StatusOK {
		return false
	}
	if record.answer != "" && record.answer != string(body) {
		record.conflicting = true
	}
	record.answer = string(body)
	return true
}
