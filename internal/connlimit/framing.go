package connlimit

import "net/http"

// framing finds the end of a request's body in received bytes. Where it finds none, net/http fails on the body too, and
// closes the connection.
type framing struct {
	part framePart
	// remaining is the rest of a body with a length, or of a chunk with the end of its line.
	remaining int64
	// size and digits are those of a chunk's size so far.
	size    int64
	digits  int
	trailer headScanner
}

// framePart is the part of a body that comes next.
type framePart int

const (
	frameEnd       framePart = iota // nothing
	frameLength                     // a body with a length
	frameSize                       // the digits of a chunk's size
	frameExtension                  // the rest of the line with a chunk's size
	frameChunk                      // a chunk with the end of its line
	frameTrailer                    // trailer fields, up to an empty line
	frameUnknown                    // nothing that is known
)

// framingOf returns the framing of a request's body.
func framingOf(r *http.Request) framing {
	switch {
	case r.ContentLength > 0:
		return framing{part: frameLength, remaining: r.ContentLength}
	case r.ContentLength < 0:
		return framing{part: frameSize}
	default:
		return framing{}
	}
}

// maxSizeDigits is how many digits net/http accepts in the size of a chunk.
const maxSizeDigits = 16

// body returns how many of the received bytes belong to the body.
func (f *framing) body(p []byte) int {
	at := 0
	for at < len(p) && f.part != frameEnd {
		switch f.part {
		case frameLength, frameChunk:
			at += f.skip(len(p) - at)
		case frameSize, frameExtension:
			f.sizeByte(p[at])
			at++
		case frameTrailer:
			end := f.trailer.scan(p[at:])
			if end < 0 {
				return len(p)
			}
			at += end
			f.part = frameEnd
		default:
			return len(p)
		}
	}
	return at
}

// skip takes up to n bytes of a body with a length or of a chunk, and returns their number.
func (f *framing) skip(n int) int {
	taken := min(int64(n), f.remaining)
	if f.remaining -= taken; f.remaining == 0 {
		if f.part == frameLength {
			f.part = frameEnd
		} else {
			f.part = frameSize
		}
	}
	return int(taken)
}

// sizeByte takes a byte of the line with a chunk's size.
func (f *framing) sizeByte(b byte) {
	const base = 16
	digit, isDigit := hexDigit(b)
	switch {
	case f.part == frameSize && isDigit && f.digits < maxSizeDigits:
		f.size, f.digits = f.size*base+digit, f.digits+1
	case f.digits == 0 || f.part == frameSize && isDigit || f.size < 0:
		f.part = frameUnknown
	case b != '\n':
		f.part = frameExtension
	case f.size == 0:
		f.part = frameTrailer
	default:
		const lineEnd = int64(len("\r\n"))
		f.part, f.remaining = frameChunk, f.size+lineEnd
	}
	if f.part == frameChunk || f.part == frameTrailer {
		f.size, f.digits = 0, 0
	}
}

func hexDigit(b byte) (int64, bool) {
	const letters = 10
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + letters, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + letters, true
	default:
		return 0, false
	}
}
