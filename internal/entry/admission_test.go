package entry_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// Requests that cannot meet their deadline at an overloaded and greatly slowed engine must be refused while
// the admitted ones still run. The refusal says not_run and when to retry, and the engine's records
// confirm that no part of the refused requests ran.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{
		instances: 2, engines: 1, engineFlags: []string{"--prefill-rate", "2000", "--decode-rate", "200"},
	})
	setFaults(ctx, t, fleet.Engines[0], testservers.EngineFaults{SlowFactor: 20})
	const requests = 30
	caller := testcaller.New(apiKey)
	var work sync.WaitGroup
	var mu sync.Mutex // protects the answers
	var refused, complete []testcaller.Answer
	for i := range requests {
		work.Go(func() {
			chat := testcaller.Chat{
				Model: modelName, Prompt: strings.Repeat("word ", 800), MaxTokens: 20, Seed: int64(i),
				Header: http.Header{callerapi.HeaderDeadline: []string{"1500"}},
			}
			answer, err := caller.Stream(ctx, fleet.Instances[i%2].EntryAddress, chat, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("request %d: %v", i, err)
			case answer.Done:
				complete = append(complete, answer)
			default:
				refused = append(refused, answer)
			}
		})
	}
	err := testfleet.Until(ctx, "each request is refused or at the engine", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(refused)+started(ctx, t, fleet) == requests
	})
	if err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	if len(refused) == 0 || len(complete) > 0 {
		t.Errorf("%d refused and %d complete while the engine is nearly stopped", len(refused), len(complete))
	}
	mu.Unlock()
	setFaults(ctx, t, fleet.Engines[0], testservers.EngineFaults{})
	work.Wait()
	for _, answer := range refused {
		checkRefusal(t, answer.Status, answer.Error, answer.RetryAfter)
	}
	if ran := started(ctx, t, fleet); ran != len(complete) || len(complete) == 0 {
		t.Errorf("%d ran according to the engine, %d complete answers, %d refused", ran, len(complete), len(refused))
	}
}

func checkRefusal(t *testing.T, status int, body *callerapi.Error, retryAfter string) {
	t.Helper()
	if status != http.StatusServiceUnavailable || body == nil || body.Outcome != callerapi.OutcomeNotRun || body.Code != "deadline" {
		t.Errorf("status %d, error %+v", status, body)
	}
	if seconds, err := strconv.Atoi(retryAfter); err != nil || seconds < 1 {
		t.Errorf("Retry-After %q", retryAfter)
	}
}

// All traffic of an organisation arrives at one of three entries. An equal share of its rate would allow
// at most 10 requests per second and a burst of 4 there; the entries' exchange of demand must give this
// entry nearly the whole rate. Refused requests say so in the protocol's headers and did not run.
func TestRateFollowsDemand(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{
		instances: 3, services: 1, limit: "requests_per_second = 30\nburst = 4",
	})
	caller := testcaller.New(apiKey)
	err := testfleet.Until(ctx, "the entry knows of three entries", func() bool {
		return gauge(t, fleet.Instances[0].EntryAddress, "admit.entries") == 3
	})
	if err != nil {
		t.Fatal(err)
	}
	var accepted []time.Time
	refused := 0
	err = testfleet.Until(ctx, "20 requests are accepted within a second", func() bool {
		for range 5 {
			status, header := post(t, caller, fleet.Instances[0].EntryAddress, "/portal/status", nil)
			if status == http.StatusOK {
				accepted = append(accepted, time.Now())
				continue
			}
			refused++
			checkRateHeaders(t, status, header)
		}
		n := len(accepted)
		return n >= 20 && accepted[n-1].Sub(accepted[n-20]) < time.Second
	})
	if err != nil {
		t.Fatal(err)
	}
	var book testservers.ServiceRecord
	if err := testfleet.Post(ctx, fleet.Services[0].Address, testservers.PathRecord, nil, &book); err != nil {
		t.Fatal(err)
	}
	if ran := book.Runs["POST /portal/status"]; ran != len(accepted) || refused == 0 {
		t.Errorf("%d ran, %d accepted, %d refused", ran, len(accepted), refused)
	}
}

func checkRateHeaders(t *testing.T, status int, header http.Header) {
	t.Helper()
	if status != http.StatusTooManyRequests || header.Get(callerapi.HeaderOutcome) != string(callerapi.OutcomeNotRun) {
		t.Errorf("status %d, outcome %q", status, header.Get(callerapi.HeaderOutcome))
	}
	if header.Get("x-ratelimit-limit-requests") != "1800" || header.Get("x-ratelimit-remaining-requests") != "0" {
		t.Errorf("headers %v", header)
	}
	if _, err := time.ParseDuration(header.Get("x-ratelimit-reset-requests")); err != nil {
		t.Errorf("reset: %v", err)
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err != nil || seconds < 1 {
		t.Errorf("Retry-After %q", header.Get("Retry-After"))
	}
}

// Invalid input must be refused with a 4xx status and the outcome not_run, without affecting later
// requests.
func TestBadInput(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{
		instances: 1, engines: 1, entryTables: "[limits]\nmax_body_bytes = 4096\n",
	})
	caller := testcaller.New(apiKey)
	good := `{"model": "critique", "prompt": "a b c", "max_tokens": 2}`
	for _, bad := range []struct {
		name, body string
		header     http.Header
		status     int
	}{
		{"no JSON", "{", nil, http.StatusBadRequest},
		{"priority out of range", good, http.Header{callerapi.HeaderPriority: {"5"}}, http.StatusBadRequest},
		{"priority no number", good, http.Header{callerapi.HeaderPriority: {"high"}}, http.StatusBadRequest},
		{"deadline zero", good, http.Header{callerapi.HeaderDeadline: {"0"}}, http.StatusBadRequest},
		{"body too large", `{"prompt": "` + strings.Repeat("a", 5000) + `"}`, nil, http.StatusRequestEntityTooLarge},
		{"headers too large", good, http.Header{"X-Long": {strings.Repeat("a", 200<<10)}}, http.StatusRequestHeaderFieldsTooLarge},
		{"unknown model", `{"model": "other", "prompt": "a"}`, nil, http.StatusNotFound},
	} {
		status, header := post(t, caller, fleet.Instances[0].EntryAddress, "/v1/completions", []byte(bad.body), bad.header)
		outcome := header.Get(callerapi.HeaderOutcome)
		if status != bad.status || (outcome != "not_run" && status != http.StatusRequestHeaderFieldsTooLarge) {
			t.Errorf("%s: status %d, outcome %q", bad.name, status, outcome)
		}
	}
	if ran := started(ctx, t, fleet); ran != 0 {
		t.Errorf("%d bad requests ran", ran)
	}
	if status, _ := post(t, caller, fleet.Instances[0].EntryAddress, "/v1/completions", []byte(good)); status != http.StatusOK {
		t.Errorf("a good request after them: status %d", status)
	}
}

func post(t *testing.T, caller *testcaller.Caller, address, path string, body []byte, headers ...http.Header) (int, http.Header) {
	t.Helper()
	var header http.Header
	if len(headers) > 0 {
		header = headers[0]
	}
	res, err := caller.Post(t.Context(), address, path, header, body)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // lets the connection be reused
	return res.StatusCode, res.Header
}
