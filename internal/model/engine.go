package model

import (
	"time"

	"sassafrasfield/internal/config"
)

// work is a request on one engine.
type work struct {
	req *request
	// remaining is the processing time that the prompt still needs. uncached is the number of its tokens that
	// the engine processes.
	remaining time.Duration
	uncached  int
	// fetched is the number of its tokens that are fetched from another engine.
	fetched int
	// deferred requests are processed after all others.
	deferred bool
	// readyAt is the time at which its KV cache has arrived.
	readyAt time.Duration
	// tokens is the number of tokens still to be generated.
	tokens float64
	// started is set once the engine processes the prompt.
	started bool
	// source is the engine to fetch the shared part from; nil for none.
	source *engine
}

// engine is one simulated engine.
type engine struct {
	id, zone string
	// version is that of its software.
	version string
	role    config.Role
	spec    EngineSpec
	cache   *promptCache
	// prompts are queued or being processed. On a decode engine they are the prompts that it
	// processes itself.
	prompts []*work
	// waiting requests have no slot yet; running ones are generating.
	waiting, running []*work
	// targetRole is the role that the engine was ordered to change to. Until unavailableUntil it accepts no
	// requests. A crashed engine does nothing until it is restored.
	targetRole       config.Role
	unavailableUntil time.Duration
	down             bool
	// number identifies the engine in ledgers.
	number uint32
	// slowdown and noise are the factors of the time that it needs. busy is the time for which it processed
	// prompts in the prefill role.
	slowdown, noise float64
	busy            time.Duration
}

func newEngine(id, zone string, role config.Role, spec EngineSpec) *engine {
	return &engine{id: id, zone: zone, role: role, targetRole: role, spec: spec, cache: newPromptCache(spec.MemoryTokens), slowdown: 1, noise: 1}
}

// accepts reports whether the engine accepts requests.
func (e *engine) accepts(now time.Duration) bool {
	return !e.down && e.targetRole == e.role && now >= e.unavailableUntil
}

// orderRole orders the engine to change its role.
func (e *engine) orderRole(role config.Role) { e.targetRole = role }

// promptTime returns the processing time of uncached tokens that follow cached ones.
func (e *engine) promptTime(uncached, cached int) time.Duration {
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2)
	return time.Duration(float64(uncached)*e.spec.TokenTime + pairs*e.spec.PairTime)
}

// freeTokens returns the cache space in tokens that the running requests leave free.
func (e *engine) freeTokens() int {
	used := 0
	for _, w := range e.running {
		used += w.req.prompt.Tokens
	}
	return max(0, e.cache.size-used)
}

// startPrompt computes the processing time of a prompt from what is cached now, including a fetch.
func (e *engine) startPrompt(w *work) {
	cached := e.cache.cachedTokens(w.req.prompt)
	if w.source != nil {
		if remote := w.source.cache.cachedTokens(w.req.prompt); remote > cached {
			w.remaining += time.Duration(float64(remote-cached) * e.spec.TransferTime)
			w.fetched = remote - cached
			cached = remote
		}
	}
	w.uncached = max(0, w.req.prompt.Tokens-cached)
	w.remaining += e.promptTime(w.uncached, cached)
	e.cache.insert(w.req.prompt, e.freeTokens())
}

// nextPrompt returns the prompt to process: the one being processed, otherwise the first that is not
// deferred, otherwise the first.
func (e *engine) nextPrompt() *work {
	var next *work
	for _, w := range e.prompts {
		if w.started {
			return w
		}
		if next == nil || next.deferred && !w.deferred {
			next = w
		}
	}
	return next
}

// advance simulates one tick. It returns the requests whose prompt was completed, those that generated their
// first tokens, and those that finished.
func (e *engine) advance(now time.Duration) (prefilled, started, finished []*work) {
	e.changeRole(now)
	if e.down {
		return nil, nil, nil
	}
	if e.role == config.RolePrefill {
		return e.prefill(), nil, nil
	}
	return e.decode(now)
}

// changeRole carries out an ordered role change. Once no request is left, the engine is unavailable for the
// time of the change.
func (e *engine) changeRole(now time.Duration) {
	if e.targetRole == e.role || len(e.prompts)+len(e.waiting)+len(e.running) > 0 {
		return
	}
	e.role, e.unavailableUntil = e.targetRole, now+e.spec.RoleChange
}

func (e *engine) prefill() (done []*work) {
	rate := e.slowdown * e.noise
	full := time.Duration(float64(tick) / rate)
	budget := full
	defer func() { e.busy += time.Duration(float64(full-budget) * rate) }()
	for budget > 0 {
		w := e.nextPrompt()
		if w == nil {
			break
		}
		if !w.started {
			w.started = true
			e.startPrompt(w)
		}
		used := min(budget, w.remaining)
		w.remaining -= used
		budget -= used
		if w.remaining > 0 {
			break
		}
		e.prompts = remove(e.prompts, w)
		done = append(done, w)
	}
	return done
}

// stepTime returns the duration of one generation step.
func (e *engine) stepTime() time.Duration {
	context := 0.0
	for _, w := range e.running {
		context += float64(w.req.prompt.Tokens) + w.req.answer - w.tokens
	}
	return e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest +
		time.Duration(context/1000*float64(e.spec.StepPerContext))
}

// mixedSlowdown is the factor by which a generating engine processes prompts more slowly.
const mixedSlowdown = 2

func (e *engine) decode(now time.Duration) (prefilled, started, finished []*work) {
	e.admit(now)
	step := e.stepTime()
	if w := e.nextPrompt(); w != nil {
		if !w.started {
			w.started = true
			e.startPrompt(w)
			w.remaining *= mixedSlowdown
		}
		chunk := min(w.remaining, mixedSlowdown*time.Duration(float64(e.spec.Chunk)*e.spec.TokenTime))
		promptShare := float64(chunk) / float64(chunk+step)
		step += chunk
		w.remaining -= time.Duration(promptShare * float64(tick))
		if w.remaining <= 0 {
			e.prompts = remove(e.prompts, w)
			e.waiting = append(e.waiting, w)
			prefilled = append(prefilled, w)
		}
	}
	started, finished = e.generate(float64(tick)/float64(step), step)
	return prefilled, started, finished
}

// admit gives free slots to the requests whose KV cache has arrived, the most urgent class (the lowest
// Priority value) first.
func (e *engine) admit(now time.Duration) {
	for len(e.running)+len(e.prompts) < e.spec.Slots {
		var next *work
		for _, w := range e.waiting {
			if now >= w.readyAt && (next == nil || w.req.class.Priority < next.req.class.Priority) {
				next = w
			}
		}
		if next == nil {
			return
		}
		e.waiting = remove(e.waiting, next)
		e.running = append(e.running, next)
		e.cache.insert(next.req.prompt, e.freeTokens())
	}
}

// generate produces tokens for the running requests.
func (e *engine) generate(tokens float64, step time.Duration) (started, finished []*work) {
	gap := time.Duration(e.spec.EventTokens) * step
	for _, w := range append([]*work(nil), e.running...) {
		if w.tokens == w.req.answer {
			started = append(started, w)
		} else if gap > w.req.class.MaxGap {
			w.req.gapExceeded = true
		}
		if w.tokens -= tokens; w.tokens <= 0 {
			e.running = remove(e.running, w)
			finished = append(finished, w)
		}
	}
	return started, finished
}

// drop removes a request whose caller has given up.
func (e *engine) drop(r *request) {
	for _, list := range []*[]*work{&e.prompts, &e.waiting, &e.running} {
		for _, w := range *list {
			if w.req == r {
				*list = remove(*list, w)
				break
			}
		}
	}
}

func remove(list []*work, w *work) []*work {
	for i := range list {
		if list[i] == w {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
