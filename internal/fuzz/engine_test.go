package fuzz

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/stream"
)

// maxPieces bounds the pieces that are read of one stream.
const maxPieces = 4096

// FuzzEngineStream has an engine answer with arbitrary bytes. The pieces forwarded to the
// caller must be numbered without gaps or repeats.
func FuzzEngineStream(f *testing.F) {
	for _, seed := range []string{
		`{"n":0,"text":"a "}` + "\n" + `{"n":1,"text":"b "}` + "\n" + `{"n":2,"finish":"stop"}`,
		`{"n":1,"text":"b "}` + "\n" + `{"n":0,"text":"a "}` + "\n" + `{"n":0,"text":"a "}` + "\n" + `{"n":2,"finish":"stop"}`,
		`{"n":-1,"text":"x"}`, `{"n":0,"text":1}`, `{"n":999999999,"text":"x"}`, `{"n":0,"finish":"stop"}{"n":1,"text":"late"}`, "", "\x00",
	} {
		f.Add([]byte(seed))
	}
	body := make(chan []byte, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(<-body) // the client may have disconnected
	}))
	f.Cleanup(server.Close)
	client := engine.NewClient(strings.TrimPrefix(server.URL, "http://"), 10*time.Second)
	f.Fuzz(func(t *testing.T, data []byte) {
		body <- data
		source, err := client.Generate(context.Background(), engine.Request{ID: "r"})
		if err != nil {
			t.Fatal(err)
		}
		defer source.Close()
		assembler, next := stream.NewAssembler(0, 0), 0
		for range maxPieces {
			piece, err := source.Next()
			if err != nil {
				return
			}
			ready, err := assembler.Add(piece)
			if err != nil {
				return
			}
			for _, p := range ready {
				if p.N != next {
					t.Fatalf("got piece %d, want %d", p.N, next)
				}
				next++
			}
		}
	})
}
