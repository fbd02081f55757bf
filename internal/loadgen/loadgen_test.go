package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestSameSeedSameArrivals(t *testing.T) {
	scenario := QotonTrace(2*time.Second, 50)
	scenario.Keys = []string{"k1", "k2", "k3"}
	first, again, other := arrivals(scenario, 1), arrivals(scenario, 1), arrivals(scenario, 2)
	if !reflect.DeepEqual(first, again) {
		t.Fatal("the same seed gives other arrivals")
	}
	if reflect.DeepEqual(first, other) {
		t.Fatal("another seed gives the same arrivals")
	}
	prompts := [3]int{}
	keys := map[string]int{}
	for i, a := range first {
		if i > 0 && a.at < first[i-1].at {
			t.Fatal("arrivals are not in order")
		}
		prompts[int(a.at/(2*time.Second))] += a.promptTokens
		keys[a.key]++
	}
	if prompts[1] < 2*prompts[0] || prompts[1] < 2*prompts[2] {
		t.Errorf("prompt tokens by phase %v do not rise and fall", prompts)
	}
	if keys["k1"] <= keys["k3"] || keys["k3"] == 0 {
		t.Errorf("requests by organisation: %v", keys)
	}
}

func TestCompletionsAreGoodLateRefusedOrBroken(t *testing.T) {
	kinds := []string{
		"data: a\n\ndata: b\n\ndata: [DONE]\n\n",
		"data: a\n\n",
		"data: a\n\nevent: error\ndata: {}\n\n",
		"refuse",
		"slow",
	}
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := kinds[int(n.Add(1)-1)%len(kinds)]
		switch kind {
		case "refuse":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "slow":
			time.Sleep(300 * time.Millisecond)
			fmt.Fprint(w, kinds[0])
		default:
			fmt.Fprint(w, kind)
		}
	}))
	defer server.Close()
	scenario := Scenario{
		Keys: []string{"k"}, Prefixes: 1, Bounds: Bounds{FirstToken: 250 * time.Millisecond, MeanInterToken: time.Second},
		Classes: []Class{{PromptTokens: 10, AnswerTokens: 2}},
		Phases:  []Phase{{Duration: time.Second, Rate: 40, Mix: []float64{1}}},
	}
	result, err := Run(context.Background(), Options{Scenario: scenario, Seed: 3, Targets: []string{strings.TrimPrefix(server.URL, "http://")}})
	if err != nil {
		t.Fatal(err)
	}
	if result.Offered != result.Good+result.Late+result.Refused+result.Broken || result.Offered != int(n.Load()) {
		t.Errorf("%+v do not sum up to %d", result, n.Load())
	}
	each := result.Offered / len(kinds)
	if result.Late < each || result.Refused < each || result.Broken < 2*each {
		t.Errorf("late %d, refused %d, broken %d of %d offered", result.Late, result.Refused, result.Broken, result.Offered)
	}
	if len(result.Seconds) != 1 || result.Seconds[0].Offered != result.Offered {
		t.Errorf("series: %+v", result.Seconds)
	}
}

func TestCallersRetryAfterRefusal(t *testing.T) {
	var tries atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if tries.Add(1) == 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		fmt.Fprint(w, "data: a\n\ndata: [DONE]\n\n")
	}))
	defer server.Close()
	c := newCaller(Scenario{HonourRetryAfter: true}, []string{strings.TrimPrefix(server.URL, "http://")})
	o := c.do(context.Background(), arrival{body: []byte("{}")}, 0)
	if !o.complete || o.firstToken < time.Second {
		t.Fatalf("%+v after %d tries", o, tries.Load())
	}
}
