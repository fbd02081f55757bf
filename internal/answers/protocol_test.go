package answers

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
)

// splitEvents returns the data lines of an event stream and the number of its comments.
func splitEvents(text string) (data []string, comments int) {
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			data = append(data, value)
		}
		if strings.HasPrefix(line, ":") {
			comments++
		}
	}
	return data, comments
}

// TestCompletionsProtocol sends request bodies as client libraries do, and checks the answers as they would
// parse them.
func TestCompletionsProtocol(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 1, engines: 1, entrySettings: "keep_alive = \"50ms\"\nbody_timeout = \"500ms\"\n"})
	c := newChat(31, 12)
	want := expectedText(c)
	chatBody := func(rest string) string {
		return fmt.Sprintf(`{"model": %q, "messages": [{"role": "user", "content": %q}], "seed": %d, "max_tokens": 12, "n": 1,
			"temperature": 0.7, "top_p": 1, "stop": ["\n\n"], "presence_penalty": 0, "user": "x", "logprobs": null%s}`, modelName, prompt, c.Seed, rest)
	}
	usage := callerapi.Usage{PromptTokens: 11, CompletionTokens: 12, TotalTokens: 23}
	t.Run("whole chat", func(t *testing.T) {
		_, got := f.post("/v1/chat/completions", chatBody(""))
		var answer callerapi.Response
		f.must(json.Unmarshal([]byte(got), &answer))
		choice := answer.Choices[0]
		if answer.Object != "chat.completion" || choice.Message.Role != "assistant" || choice.Message.Content != want ||
			*choice.FinishReason != "length" || *answer.Usage != usage {
			t.Errorf("got %s", got)
		}
	})
	t.Run("streamed chat with usage", func(t *testing.T) {
		_, got := f.post("/v1/chat/completions", chatBody(`, "stream": true, "stream_options": {"include_usage": true}`))
		data, _ := splitEvents(got)
		if len(data) != 15 || data[14] != "[DONE]" { // 12 tokens, the finish reason, the usage and [DONE]
			t.Fatalf("%d events: %s", len(data), got)
		}
		chunks := make([]callerapi.Response, 14)
		for n := range chunks {
			f.must(json.Unmarshal([]byte(data[n]), &chunks[n]))
			if chunks[n].ID != chunks[0].ID || chunks[n].Object != "chat.completion.chunk" {
				t.Errorf("chunk %d: %s", n, data[n])
			}
		}
		if chunks[0].Choices[0].Delta.Role != "assistant" || chunks[1].Choices[0].Delta.Role != "" {
			t.Errorf("want the role in the first chunk only: %s", data[0])
		}
		if reason := chunks[12].Choices[0].FinishReason; reason == nil || *reason != "length" {
			t.Errorf("want the finish reason in the last chunk with a choice: %s", data[12])
		}
		if len(chunks[13].Choices) != 0 || chunks[13].Usage == nil || *chunks[13].Usage != usage {
			t.Errorf("usage: %s", data[13])
		}
	})
	t.Run("plain completion", func(t *testing.T) {
		// The seed is random, but every answer has at least eight tokens.
		_, got := f.post("/v1/completions", fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 8, "stream": true}`, modelName, prompt))
		data, _ := splitEvents(got)
		if len(data) != 10 || !strings.Contains(data[0], `"text":`) || !strings.Contains(data[0], `"text_completion"`) {
			t.Errorf("got %s", got)
		}
	})
	t.Run("comments while the prompt is long", func(t *testing.T) {
		long := strings.Repeat("history ", 4000) // 1 s of prefill
		_, got := f.post("/v1/chat/completions", fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 8, "messages": [{"role": "user", "content": %q}]}`, modelName, long))
		if data, comments := splitEvents(got); comments == 0 || data[len(data)-1] != "[DONE]" {
			t.Errorf("%d comments: %.200s", comments, got)
		}
	})
	t.Run("a body that never ends", func(t *testing.T) {
		conn, err := net.Dial("tcp", f.Instances[0].EntryAddress)
		f.must(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\n{", apiKey)
		f.must(err)
		got, err := io.ReadAll(conn)
		f.must(err)
		if !strings.HasPrefix(string(got), "HTTP/1.1 400") || !strings.Contains(string(got), `"outcome":"not_run"`) {
			t.Errorf("got %s", got)
		}
	})
	t.Run("refusals", func(t *testing.T) {
		for _, body := range []string{`{`, `{"model": "none", "prompt": "x"}`, chatBody(`, "n": 2`), fmt.Sprintf(`{"model": %q}`, modelName)} {
			status, got := f.post("/v1/chat/completions", body)
			if status < 400 || status >= 500 || !strings.Contains(got, `"outcome":"not_run"`) {
				t.Errorf("%s: %d %s", body, status, got)
			}
		}
	})
}

// post sends a body to the first instance and returns the status and the body of the response.
func (f *fixture) post(path, body string) (int, string) {
	f.t.Helper()
	res, err := testcaller.New(apiKey).Post(f.ctx, f.Instances[0].EntryAddress, path, http.Header{}, []byte(body))
	f.must(err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	f.must(err)
	return res.StatusCode, string(data)
}
