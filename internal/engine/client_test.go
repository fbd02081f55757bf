package engine

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

// TestStreamEndsWithItsLastPieceAlone guards against an answer that passes for complete because its engine was killed
// between two pieces.
func TestStreamEndsWithItsLastPieceAlone(t *testing.T) {
	const head, pieces = "HTTP/1.1 200 OK\r\n\r\n", `{"n":0,"text":"a"}` + "\n" + `{"n":1,"text":"b"}` + "\n"
	for name, c := range map[string]struct {
		rest string
		want error
	}{
		"between two pieces": {"", ErrBroken},
		"inside a piece":     {`{"n":2,"te`, ErrBroken},
		"after the last one": {`{"n":2,"finish":"stop"}` + "\n", io.EOF},
	} {
		stream, err := NewClient(rawserver.Start(t, head+pieces+c.rest), 5*time.Second).Generate(context.Background(), Request{ID: "r1"})
		if err != nil {
			t.Fatal(name, err)
		}
		read := 0
		for ; err == nil; read++ {
			_, err = stream.Next()
		}
		if !errors.Is(err, c.want) || read < 3 {
			t.Errorf("%s: %v after %d reads, want %v", name, err, read, c.want)
		}
		stream.Close()
	}
}
