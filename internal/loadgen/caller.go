package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sassafrasfield/internal/callerapi"
)

// charsPerToken turns token counts into prompt text.
const charsPerToken = 4

// callers makes requests and sends them.
type callers struct {
	options  Options
	http     *http.Client
	prefixes []string
	sent     int
}

// call is one request.
type call struct {
	target string
	body   []byte
}

// outcome is what one caller saw.
type outcome struct {
	refused    bool
	whole      bool
	firstToken time.Duration
	gaps       []time.Duration
}

// pace is the mean time between tokens.
func (o outcome) pace() time.Duration {
	if len(o.gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range o.gaps {
		total += gap
	}
	return total / time.Duration(len(o.gaps))
}

func newCallers(options Options) *callers {
	c := &callers{
		options: options,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	for i := range max(1, options.Prefixes) {
		c.prefixes = append(c.prefixes, strings.Repeat("style guide "+strconv.Itoa(i)+" ", 1024))
	}
	return c
}

// next makes a request; half of its prompt is a shared prefix.
func (c *callers) next(rng *rand.Rand, phase Profile) call {
	prompt := int(float64(phase.PromptTokens) * (0.5 + rng.Float64()))
	answer := max(1, int(float64(phase.AnswerTokens)*(0.5+rng.Float64())))
	prefix := c.prefixes[rng.IntN(len(c.prefixes))]
	half := min(len(prefix), prompt*charsPerToken/2)
	text := prefix[:half] + strings.Repeat(strconv.FormatUint(rng.Uint64(), 36)+" ", prompt*charsPerToken/28+1)
	seed := rng.Int64N(1 << 31)
	body, err := json.Marshal(map[string]any{
		"model": c.options.Model, "stream": true, "max_tokens": answer, "seed": seed,
		"messages": []callerapi.Message{{Role: "user", Content: callerapi.Content(text)}},
	})
	if err != nil {
		panic(err) // plain data always marshals
	}
	c.sent++
	return call{target: c.options.Targets[c.sent%len(c.options.Targets)], body: body}
}

// do sends a request and reads its answer.
func (c *callers) do(ctx context.Context, call call) outcome {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.target+"/v1/chat/completions", bytes.NewReader(call.body))
	if err != nil {
		return outcome{}
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return outcome{}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return outcome{refused: res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests}
	}
	return readAnswer(res, started)
}

func readAnswer(res *http.Response, started time.Time) outcome {
	var o outcome
	lines := bufio.NewScanner(res.Body)
	last := started
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = true
			return o
		}
		now := time.Now()
		if o.firstToken == 0 {
			o.firstToken = now.Sub(started)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	}
	return o
}
