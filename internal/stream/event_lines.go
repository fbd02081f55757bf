package stream

import "bytes"

// The fields of a server-sent event that are read here.
const (
	idField   = "id"
	dataField = "data"
)

// cutLine returns the first line without its end, which is "\n", "\r\n" or "\r", and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	end := bytes.IndexAny(text, "\r\n")
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
