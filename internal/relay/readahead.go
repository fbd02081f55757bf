package relay

import (
	"io"
	"sync"
	"time"

	"sassafrasfield/internal/membudget"
)

// chunkBytes is the size of the buffers that answers pass through.
const chunkBytes = 32 << 10

// chunks are buffers of chunkBytes that are not in use.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

func newChunk() []byte { return chunks.Get().(*[chunkBytes]byte)[:0] }

func dropChunk(c []byte) { chunks.Put((*[chunkBytes]byte)(c[:chunkBytes])) }

// readHead reads the first part of an answer, up to maxBufferedBytes. If there is no memory for all of it, the part is
// shorter; a later failure of the upstream then truncates the answer where it would otherwise be requested again.
func readHead(x *exchange, reply *Reply) (bufferedAnswer, error) {
	answer := bufferedAnswer{reply: reply}
	for size := 0; size < maxBufferedBytes; {
		if !x.holding.reserve(chunkBytes, membudget.Head) {
			x.holding.noteShortened(size)
			break
		}
		chunk, err := fill(newChunk(), reply.Body)
		answer.head = append(answer.head, chunk)
		size += len(chunk)
		if err == io.EOF {
			answer.complete = true
			x.holding.receivedAll()
			break
		}
		if err != nil {
			answer.dropHead(x)
			return bufferedAnswer{}, err
		}
	}
	return answer, nil
}

// fill reads until a chunk is full or the body fails or ends.
func fill(chunk []byte, body io.Reader) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// dropHead drops the head of an answer that is not delivered.
func (a *bufferedAnswer) dropHead(x *exchange) {
	for _, chunk := range a.head {
		dropChunk(chunk)
		x.holding.release(chunkBytes)
	}
	a.head = nil
}

// writeHead writes the head of an answer to its caller.
func (a *bufferedAnswer) writeHead(x *exchange, w io.Writer) error {
	for len(a.head) > 0 {
		if _, err := w.Write(a.head[0]); err != nil {
			a.dropHead(x)
			return err
		}
		dropChunk(a.head[0])
		x.holding.release(chunkBytes)
		a.head = a.head[1:]
	}
	return nil
}

// readAhead reads the rest of an answer while earlier parts of it are written to a caller, as far ahead as the memory
// allows. An answer that an upstream has ready is thus not lost when its caller reads slowly.
type readAhead struct {
	holding *holding
	body    io.Reader
	stopped chan struct{}
	// readable receives a value when a chunk was added or the body ended.
	readable chan struct{}

	mu     sync.Mutex // protects the fields below
	queue  [][]byte
	err    error // the end of the body
	closed bool
}

// startReadAhead begins to read a body.
func startReadAhead(h *holding, body io.Reader) *readAhead {
	r := &readAhead{holding: h, body: body, stopped: make(chan struct{}), readable: make(chan struct{}, 1)}
	go r.read()
	return r
}

// read reads the body to its end.
func (r *readAhead) read() {
	defer close(r.stopped)
	var chunk []byte
	for {
		if chunk == nil {
			if !r.awaitRoom() {
				return
			}
			chunk = newChunk()
		}
		n, err := r.body.Read(chunk[:chunkBytes])
		kept := r.add(chunk[:n], err)
		switch {
		case err == io.EOF:
			r.holding.receivedAll()
		case err != nil:
			r.holding.failed()
		}
		if err != nil && kept {
			dropChunk(chunk)
			r.holding.release(chunkBytes)
		}
		if err != nil {
			return
		}
		if !kept {
			chunk = nil
		}
	}
}

// awaitRoom reserves a chunk, and waits until that is possible. It reports false if the answer is no longer needed.
func (r *readAhead) awaitRoom() bool {
	for !r.holding.reserve(chunkBytes, membudget.ReadAhead) {
		<-r.holding.mayContinue
		if r.isClosed() {
			return false
		}
		if r.holding.aborted() { // the write to the caller may have succeeded at that moment
			r.add(nil, errOverMemory)
			return false
		}
	}
	return true
}

// add adds what was read to the queue. It reports true if the chunk was copied into one that waits already, so that
// the caller keeps it.
func (r *readAhead) add(chunk []byte, err error) (kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer signal(r.readable)
	r.err = err
	if last := len(r.queue) - 1; last >= 0 && len(r.queue[last])+len(chunk) <= chunkBytes {
		r.queue[last] = append(r.queue[last], chunk...)
		return true
	}
	if len(chunk) == 0 {
		return true
	}
	r.queue = append(r.queue, chunk)
	return false
}

// signal adds a value to a channel that has room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it has one
	}
}

// next returns the next chunk to write, and io.EOF or the error of the body after the last one.
func (r *readAhead) next() ([]byte, error) {
	for {
		r.mu.Lock()
		if len(r.queue) > 0 {
			chunk := r.queue[0]
			r.queue = r.queue[1:]
			r.mu.Unlock()
			return chunk, nil
		}
		err := r.err
		r.mu.Unlock()
		if err != nil {
			return nil, err
		}
		<-r.readable
	}
}

// writeTo writes the body to a caller.
func (r *readAhead) writeTo(w io.Writer) error {
	for {
		chunk, err := r.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = w.Write(chunk)
		dropChunk(chunk)
		r.holding.release(chunkBytes)
		if err != nil {
			return err
		}
	}
}

func (r *readAhead) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// closeTimeout is how long the reading of a body whose request was cancelled may take to end, before the body is closed
// while it is read.
const closeTimeout = 200 * time.Millisecond

// close ends the reading, and closes the body.
func (r *readAhead) close(body io.Closer) {
	r.mu.Lock()
	r.closed = true
	ended := r.err != nil
	r.mu.Unlock()
	r.holding.wake()
	if !ended {
		r.holding.cancel()
	}
	select {
	case <-r.stopped:
	case <-time.After(closeTimeout):
	}
	body.Close()
	<-r.stopped
}
