package stream

// selection is a part of a slice of bytes. It is copied only if it is not contiguous.
type selection struct {
	from       []byte
	start, end int // of the part that was added last
	copied     []byte
}

// add adds a part after those that were added before.
func (s *selection) add(start, end int) {
	switch {
	case start == s.end:
		s.end = end
	case start < end:
		s.insert(nil)
		s.start, s.end = start, end
	}
}

// insert adds bytes of another slice.
func (s *selection) insert(other []byte) {
	s.copied = append(s.copied, s.from[s.start:s.end]...)
	s.copied = append(s.copied, other...)
	s.start = s.end
}

func (s *selection) bytes() []byte {
	if s.copied == nil {
		return s.from[s.start:s.end]
	}
	return append(s.copied, s.from[s.start:s.end]...)
}
