package connlimit

import "bytes"

// headScanner finds the end of a request's head in received bytes: the first empty line. Lines end with \n or \r\n, as
// net/http reads them.
type headScanner struct {
	// line is what was received of the line that is not complete.
	line  linePart
	bytes int
	lines int
}

// linePart is what is known of an incomplete line.
type linePart int

const (
	lineEmpty linePart = iota
	lineCR             // \r alone
	lineText
)

// scan takes received bytes. It returns how many of them belong to the head if it ends in them, and else -1.
func (s *headScanner) scan(p []byte) int {
	for at := 0; at < len(p); {
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			s.line = s.line.extend(p[at:])
			break
		}
		text := s.line.extend(p[at : at+end])
		at += end + 1
		s.line = lineEmpty
		s.lines++
		if text != lineText {
			s.bytes += at
			return at
		}
	}
	s.bytes += len(p)
	return -1
}

// extend returns the incomplete line with more bytes, none of which ends it.
func (l linePart) extend(p []byte) linePart {
	switch {
	case len(p) == 0:
		return l
	case l == lineEmpty && len(p) == 1 && p[0] == '\r':
		return lineCR
	default:
		return lineText
	}
}

// pass takes bytes that belong to no head, so that the line that they end with is known.
func (s *headScanner) pass(p []byte) {
	if end := bytes.LastIndexByte(p, '\n'); end >= 0 {
		s.line, p = lineEmpty, p[end+1:]
	}
	s.line = s.line.extend(p)
}

// next begins the next head.
func (s *headScanner) next() { s.bytes, s.lines = 0, 0 }
