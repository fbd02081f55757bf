package testservers

import (
	"strings"

	"sassafrasfield/internal/engine"
)

// CountedPromptMark precedes a name in a prompt. The engine counts the streams started for each
// name in EngineRecord.Ran, so that a test can check how often a request ran.
const CountedPromptMark = "book/"

// countRun counts a request whose prompt contains CountedPromptMark. The lock is held.
func (e *Engine) countRun(req engine.Request) {
	_, rest, marked := strings.Cut(req.Prompt, CountedPromptMark)
	if !marked {
		return
	}
	if e.record.Ran == nil {
		e.record.Ran = map[string]int{}
	}
	name, _, _ := strings.Cut(rest, " ")
	e.record.Ran[strings.TrimSpace(name)]++
}
