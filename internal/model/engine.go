package model

import (
	"time"

	"sassafrasfield/internal/config"
)

// work is one request on an engine.
type work struct {
	req *request
	// left is the time that its prompt still takes, fresh what of it is processed.
	left  time.Duration
	fresh int
	// yields behind all that do not.
	yields bool
	// readyAt is when its KV cache has arrived.
	readyAt time.Duration
	// tokens that are still to be generated.
	tokens float64
	began  bool
	// source is an engine to fetch the shared part from; nil for none.
	source *engine
}

// engine is one model engine.
type engine struct {
	id, zone string
	role     config.Role
	spec     EngineSpec
	cache    *cache
	// prompts wait or are processed; on a decode engine those that it generates for
	// too.
	prompts []*work
	// waiting have no slot yet; running generate.
	waiting, running []*work
	// wanted is the role that it is to take, away the time until which it takes no
	// requests; gone engines do not exist.
	wanted config.Role
	away   time.Duration
	gone   bool
}

func newEngine(id, zone string, role config.Role, spec EngineSpec) *engine {
	return &engine{id: id, zone: zone, role: role, wanted: role, spec: spec, cache: newCache(spec.MemoryTokens)}
}

// takes tells whether the engine takes requests.
func (e *engine) takes(now time.Duration) bool {
	return !e.gone && e.wanted == e.role && now >= e.away
}

// order has the engine change its role.
func (e *engine) order(to config.Role) { e.wanted = to }

// promptTime is the time of fresh tokens after cached ones.
func (e *engine) promptTime(fresh, cached int) time.Duration {
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return time.Duration(float64(fresh)*e.spec.TokenTime + pairs*e.spec.PairTime)
}

// room is what the running requests leave of the memory.
func (e *engine) room() int {
	taken := 0
	for _, w := range e.running {
		taken += w.req.prompt.Tokens
	}
	return max(0, e.cache.size-taken)
}

// begin works out what a prompt takes here, with what is cached now.
func (e *engine) begin(w *work) {
	cached := e.cache.has(w.req.prompt)
	if w.source != nil {
		if there := w.source.cache.has(w.req.prompt); there > cached {
			w.left += time.Duration(float64(there-cached) * e.spec.TransferTime)
			cached = there
		}
	}
	w.fresh = max(0, w.req.prompt.Tokens-cached)
	w.left += e.promptTime(w.fresh, cached)
	e.cache.put(w.req.prompt, e.room())
}

// nextPrompt is the prompt that is processed: the one under way, then the first of
// those that do not yield.
func (e *engine) nextPrompt() *work {
	var next *work
	for _, w := range e.prompts {
		if w.began {
			return w
		}
		if next == nil || next.yields && !w.yields {
			next = w
		}
	}
	return next
}

// advance lets the engine work for one tick and returns the works that ended.
func (e *engine) advance(now time.Duration) (prompted, started, ended []*work) {
	e.change(now)
	if e.gone {
		return nil, nil, nil
	}
	if e.role == config.RolePrefill {
		return e.prefill(), nil, nil
	}
	return e.decode(now)
}

// change carries an order out: once nothing is left, the engine is away for a time.
func (e *engine) change(now time.Duration) {
	if e.wanted == e.role || len(e.prompts)+len(e.waiting)+len(e.running) > 0 {
		return
	}
	e.role, e.away = e.wanted, now+e.spec.RoleChange
}

func (e *engine) prefill() (done []*work) {
	for left := tick; left > 0; {
		w := e.nextPrompt()
		if w == nil {
			break
		}
		if !w.began {
			w.began = true
			e.begin(w)
		}
		used := min(left, w.left)
		w.left -= used
		left -= used
		if w.left > 0 {
			break
		}
		e.prompts = remove(e.prompts, w)
		done = append(done, w)
	}
	return done
}

// step is the time of one step of generation.
func (e *engine) step() time.Duration {
	context := 0.0
	for _, w := range e.running {
		context += float64(w.req.prompt.Tokens) + w.req.answer - w.tokens
	}
	return e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest +
		time.Duration(context/1000*float64(e.spec.StepPerContext))
}

// halfSpeed is how much slower a generating engine processes prompts.
const halfSpeed = 2

func (e *engine) decode(now time.Duration) (prompted, started, ended []*work) {
	e.admit(now)
	step := e.step()
	if w := e.nextPrompt(); w != nil {
		if !w.began {
			w.began = true
			e.begin(w)
			w.left *= halfSpeed
		}
		chunk := min(w.left, halfSpeed*time.Duration(float64(e.spec.Chunk)*e.spec.TokenTime))
		part := float64(chunk) / float64(chunk+step)
		step += chunk
		w.left -= time.Duration(part * float64(tick))
		if w.left <= 0 {
			e.prompts = remove(e.prompts, w)
			e.waiting = append(e.waiting, w)
			prompted = append(prompted, w)
		}
	}
	started, ended = e.generate(float64(tick)/float64(step), step)
	return prompted, started, ended
}

// admit gives slots to those whose KV cache is there, the most urgent first.
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
		e.cache.put(next.req.prompt, e.room())
	}
}

// generate makes tokens for the running requests.
func (e *engine) generate(tokens float64, step time.Duration) (started, ended []*work) {
	gap := time.Duration(e.spec.EventTokens) * step
	for _, w := range append([]*work(nil), e.running...) {
		if w.tokens == w.req.answer {
			started = append(started, w)
		} else if gap > w.req.class.MaxGap {
			w.req.paused = true
		}
		if w.tokens -= tokens; w.tokens <= 0 {
			e.running = remove(e.running, w)
			ended = append(ended, w)
		}
	}
	return started, ended
}

// drop takes a request off the engine, as its caller has left.
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
