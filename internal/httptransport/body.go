package httptransport

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"sassafrasfield/internal/readlimit"
)

// ReadBody reads the whole body of a response within limits, and closes it. If it exceeds them, the connection is
// closed and the error is an *readlimit.Exceeded; the caller records it.
func ReadBody(response *http.Response, limits readlimit.BodyLimits) ([]byte, error) {
	return readWhole(response.Body, response.ContentLength, limits)
}

// ReadAll is ReadBody for a body whose length is not known.
func ReadAll(body io.ReadCloser, limits readlimit.BodyLimits) ([]byte, error) {
	return readWhole(body, -1, limits)
}

func readWhole(body io.ReadCloser, declared int64, limits readlimit.BodyLimits) ([]byte, error) {
	defer body.Close()
	start := time.Now()
	whole, err := readlimit.NewWhole(limits, declared, 0)
	if err != nil {
		return nil, err
	}
	b := &timedBody{body: body, whole: whole, start: start}
	b.begin(limits.MaxTime)
	defer b.stop()
	return b.read()
}

// ReadSized reads a whole body, without bounds of its own, into one buffer of its length; a negative one is not known.
func ReadSized(body io.Reader, length int64) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, max(0, length)+bytes.MinRead))
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

// timedBody is a body that is closed when its time is over.
type timedBody struct {
	body  io.ReadCloser
	start time.Time

	mu       sync.Mutex // protects all below
	whole    *readlimit.Whole
	timer    *time.Timer
	exceeded error
}

func (b *timedBody) begin(within time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(within, b.expire)
}

func (b *timedBody) read() ([]byte, error) {
	var all bytes.Buffer
	const piece = 4 << 10 // most bodies that are read as a whole are smaller
	buffer := make([]byte, piece)
	for {
		n, err := b.body.Read(buffer)
		if exceeded := b.received(n); exceeded != nil {
			return nil, exceeded
		}
		all.Write(buffer[:n])
		if err == io.EOF {
			return all.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// received records what was read, and returns the error of a body over its limits.
func (b *timedBody) received(n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exceeded != nil {
		return b.exceeded
	}
	return b.whole.Received(n, time.Since(b.start))
}

// expire closes the body if its time is over.
func (b *timedBody) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exceeded = b.whole.Expired(time.Since(b.start)); b.exceeded == nil {
		b.timer.Reset(b.whole.Deadline() - time.Since(b.start))
		return
	}
	_ = b.body.Close() // ends the read, which reports the error
}

func (b *timedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer.Stop()
}
