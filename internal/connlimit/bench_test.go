package connlimit

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures requests on one kept connection, with and without a limiter.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body) // an error shows in the client
	})
	b.Run("without", func(b *testing.B) {
		benchmarkRequests(b, &http.Server{Handler: handler}, func(l net.Listener) net.Listener { return l })
	})
	b.Run("with", func(b *testing.B) {
		limiter := New(Options{
			Name: "benchmark", Bounds: Bounds{Conns: 100, Bytes: 1 << 20, AnswerBytes: 1 << 20},
			MaxHeadBytes: func() int { return 8 << 10 }, MaxBodyBytes: func() int64 { return 1 << 20 }, Log: slog.New(slog.DiscardHandler),
		})
		server := &http.Server{Handler: limiter.Handler(handler), ConnState: limiter.ConnState, ConnContext: limiter.ConnContext}
		benchmarkRequests(b, server, limiter.Listener)
	})
}

func benchmarkRequests(b *testing.B, server *http.Server, limited func(net.Listener) net.Listener) {
	inner, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(limited(inner)) }() // returns after Close
	defer server.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader, request := bufio.NewReader(conn), post("/", 1000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // an error shows in the next request
	}
}
