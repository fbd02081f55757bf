package fuzz

import (
	"encoding/json"
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/stream"
)

// FuzzRequestBody parses request bodies as sf-entry does.
func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m:a@2","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
		`{"model":"m","prompt":["one"],"seed":-1,"n":1}`, `{"prompt":["a","b"]}`, `{"messages":null,"prompt":null}`,
		`{"messages":[{"content":[{"type":"image_url"}]}]}`, `{"max_tokens":1e99}`, `[]`, `null`, `{"model":7}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var req callerapi.Request
		if json.Unmarshal(body, &req) != nil {
			return
		}
		_, _ = req.Text(), req.Limit(1)
		model, adapter, version := callerapi.SplitModel(req.Model)
		if len(model)+len(adapter)+len(version) > len(req.Model) {
			t.Errorf("%q was split into %q, %q and %q", req.Model, model, adapter, version)
		}
	})
}

// FuzzResumeToken parses the resume tokens that callers send in Last-Event-ID. A valid
// token must survive an encoding and a second parse.
func FuzzResumeToken(f *testing.F) {
	f.Add(stream.ResumeToken{Request: "r-1", Engine: "engine-1", Version: "1", Seed: -7, Next: 3, Sum: 0xabc}.String())
	f.Add(stream.ResumeToken{Request: "r", Engine: "e", Version: "a/b c", Next: 1, Done: true}.String())
	f.Add("r/e/%zz/1/1/1")
	f.Add("r/e//99999999999999999999/1/1")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := stream.ParseResumeToken(text)
		if err != nil {
			return
		}
		again, err := stream.ParseResumeToken(token.String())
		if err != nil || again != token {
			t.Errorf("%q is parsed as %+v, encoded and parsed again as %+v (%v)", text, token, again, err)
		}
		if token.Next < 0 {
			t.Errorf("%q resumes from piece %d", text, token.Next)
		}
	})
}
