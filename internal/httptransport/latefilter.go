package httptransport

import (
	"bufio"
	"bytes"
	"net/http"
)

const (
	// maxLateResponses bounds the late responses that may precede the response to a request.
	maxLateResponses = 4
	// maxLateBody bounds the body of a late response, in bytes.
	maxLateBody = 16 << 10
)

// protocolPrefix begins each head.
const protocolPrefix = "HTTP/"

// lateFilter drops late responses: whole responses to earlier requests of a connection that arrive where the response to a request is
// due. It passes on all else, from the first response on that is not late.
type lateFilter struct {
	// header is the header with the ID of a request, own that of the request whose response is due. sent has those of all requests of
	// the connection.
	header, own string
	sent        *requestIDs
	// held is the beginning of a head that is not complete.
	held []byte
	// rest is what remains of the body of the late response that is being dropped, in bytes.
	rest    int
	dropped int // late responses
	// done is set once the response that is due has begun.
	done bool
}

// receive takes received bytes, and returns those that are passed on, with those that were held before. ended reports whether a late
// response has ended.
func (f *lateFilter) receive(p []byte) (passed []byte, ended bool) {
	if f.done {
		return p, false
	}
	f.held = append(f.held, p...)
	for {
		if f.rest > 0 {
			n := min(f.rest, len(f.held))
			f.held, f.rest = f.held[n:], f.rest-n
			if f.rest > 0 {
				return nil, ended
			}
			ended = true
		}
		head, isHead := headOf(f.held)
		if isHead && head == nil {
			return nil, ended
		}
		length, isLate := f.lateBody(head)
		if !isLate {
			return f.release(), ended
		}
		f.dropped++
		f.held, f.rest = f.held[len(head):], length
		ended = ended || length == 0
	}
}

// release ends the filter, and returns what was held.
func (f *lateFilter) release() []byte {
	held := f.held
	f.held, f.done = nil, true
	return held
}

// headOf returns the head that bytes begin with, nil if it is not complete. isHead is false if they do not begin with a head.
func headOf(p []byte) (head []byte, isHead bool) {
	begin := p[:min(len(p), len(protocolPrefix))]
	if !bytes.HasPrefix([]byte(protocolPrefix), begin) {
		return nil, false
	}
	for at := 0; ; {
		line := bytes.IndexByte(p[at:], '\n')
		if line < 0 {
			return nil, true
		}
		at += line + 1
		if rest := p[at:]; bytes.HasPrefix(rest, []byte("\n")) {
			return p[:at+1], true
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return p[:at+2], true
		}
	}
}

// lateBody returns the length of the body of a late response, given its head; false if the response is not a late one whose end is known.
func (f *lateFilter) lateBody(head []byte) (length int, isLate bool) {
	if head == nil || f.dropped >= maxLateResponses {
		return 0, false
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil || CheckAnswer(response) != nil {
		return 0, false
	}
	id := response.Header.Get(f.header)
	if id == "" || id == f.own || !f.sent.has(id) {
		return 0, false
	}
	if response.ContentLength < 0 || response.ContentLength > maxLateBody {
		return 0, false
	}
	return int(response.ContentLength), true
}
