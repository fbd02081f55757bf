package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasfield/internal/callerapi"
)

// maxRetries is the number of times that a caller retries after refusals.
const maxRetries = 3

// caller sends requests and reads the responses.
type caller struct {
	scenario Scenario
	targets  []string
	http     *http.Client
}

func newCaller(scenario Scenario, targets []string) *caller {
	return &caller{
		scenario: scenario, targets: targets,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// outcome is the result of a request as its caller saw it.
type outcome struct {
	refused    bool
	complete   bool
	firstToken time.Duration
	gaps       []time.Duration
	retryAfter time.Duration
}

// meanGap returns the mean time between tokens.
func (o outcome) meanGap() time.Duration {
	if len(o.gaps) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, gap := range o.gaps {
		total += gap
	}
	return total / time.Duration(len(o.gaps))
}

// do sends a request, first to the n-th target, and reads the response. After a refusal it may retry with the
// next targets.
func (c *caller) do(ctx context.Context, a arrival, n int) outcome {
	started := time.Now()
	for try := 0; ; try++ {
		o := c.attempt(ctx, a, c.targets[(n+try)%len(c.targets)], started)
		if !o.refused || !c.scenario.HonourRetryAfter || o.retryAfter == 0 || try == maxRetries {
			return o
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(o.retryAfter):
		}
	}
}

func (c *caller) attempt(ctx context.Context, a arrival, target string, started time.Time) outcome {
	req, err := c.request(ctx, a, target)
	if err != nil {
		return outcome{}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return outcome{}
	}
	defer res.Body.Close()
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(res.Header.Get("Retry-After")) // 0 if missing
		return outcome{refused: true, retryAfter: time.Duration(seconds) * time.Second}
	case res.StatusCode != http.StatusOK:
		return outcome{}
	case a.body == nil:
		_, err := io.Copy(io.Discard, res.Body)
		return outcome{complete: err == nil, firstToken: time.Since(started)}
	}
	return readAnswer(res.Body, started)
}

func (c *caller) request(ctx context.Context, a arrival, target string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", io.Reader(bytes.NewReader(a.body))
	if a.body == nil {
		method, path, body = http.MethodGet, c.scenario.CallPath, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	if a.priority != 0 {
		req.Header.Set(callerapi.HeaderPriority, strconv.Itoa(a.priority))
	}
	if c.scenario.Deadline > 0 && a.body != nil {
		req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(c.scenario.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// readAnswer reads the events of a streamed response.
func readAnswer(body io.Reader, started time.Time) outcome {
	var o outcome
	lines := bufio.NewScanner(body)
	last := started
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			return o
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			o.complete = true
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
