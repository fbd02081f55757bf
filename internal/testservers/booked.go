package testservers

import (
	"strings"

	"sassafrasfield/internal/engine"
)

// CountedPromptMark begins a word of a prompt that the engine counts in Book.Ran, so
// that a test can tell whether a request ran at all.
const CountedPromptMark = "book/"

// bookRan counts a request whose prompt has a marked word. The lock is held.
func (e *Engine) bookRan(req engine.Request) {
	_, rest, marked := strings.Cut(req.Prompt, CountedPromptMark)
	if !marked {
		return
	}
	if e.book.Ran == nil {
		e.book.Ran = map[string]int{}
	}
	name, _, _ := strings.Cut(rest, " ")
	e.book.Ran[strings.TrimSpace(name)]++
}
