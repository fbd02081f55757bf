package stream

import "bytes"

// The fields of a server-sent event that are read here.
const (
	idField   = "id"
	dataField = "data"
)

// lineEnd returns the position of the first "\n" or "\r", or -1 if there is none. It reads no byte after that one, so
// that cutting all lines of a text has a linear cost.
func lineEnd(text []byte) int {
	for i, c := range text {
		if c == '\n' || c == '\r' {
			return i
		}
	}
	return -1
}

// cutLine returns the first line without its end, which is "\n", "\r\n" or "\r", and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	end := lineEnd(text)
	if end < 0 {
		return text, nil
	}
	line, rest = text[:end], text[end+1:]
	if text[end] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return line, rest
}

// cutField splits a line into the name and the value of its field. A comment has an empty name.
func cutField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}
