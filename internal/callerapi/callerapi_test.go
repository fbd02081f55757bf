package callerapi

import (
	"encoding/json"
	"testing"
)

// TestClientLibraryBodies decodes request bodies as common client libraries send them.
func TestClientLibraryBodies(t *testing.T) {
	cases := []struct {
		name, body, text string
		limit            int
		stops            int
	}{
		{"chat", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}],"max_tokens":5,
			"temperature":0.2,"top_p":0.9,"stop":"\n","n":1,"user":"x","logit_bias":{},"response_format":{"type":"text"}}`, "system: s\nuser: u\n", 5, 1},
		{"parts", `{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_completion_tokens":7,"max_tokens":5}`, "user: ab\n", 7, 0},
		{"nulls", `{"prompt":"p","stop":null,"max_tokens":null,"temperature":null,"stream_options":null,"seed":null}`, "p", 99, 0},
		{"lists", `{"prompt":["p"],"stop":["a","b"]}`, "p", 99, 2},
	}
	for _, c := range cases {
		var req Request
		if err := json.Unmarshal([]byte(c.body), &req); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if req.Text() != c.text || req.Limit(99) != c.limit || len(req.Stop) != c.stops {
			t.Errorf("%s: %q, limit %d, stops %q", c.name, req.Text(), req.Limit(99), req.Stop)
		}
	}
}

func TestInvalidBodies(t *testing.T) {
	for _, body := range []string{
		`{"stop":[1]}`, `{"stop":["1","2","3","4","5"]}`, `{"prompt":["a","b"]}`, `{"prompt":3}`,
		`{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, `{"messages":[{"role":"user","content":3}]}`,
	} {
		var req Request
		if err := json.Unmarshal([]byte(body), &req); err == nil {
			t.Errorf("%s was accepted", body)
		}
	}
}

func TestSplitModel(t *testing.T) {
	for name, want := range map[string][3]string{
		"m": {"m"}, "m:a": {"m", "a"}, "m@2": {"m", "", "2"}, "m:a@2": {"m", "a", "2"},
	} {
		model, adapter, version := SplitModel(name)
		if got := [3]string{model, adapter, version}; got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}
