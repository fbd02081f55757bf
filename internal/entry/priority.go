package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sassafrasfield/internal/admit"
	"sassafrasfield/internal/callerapi"
)

// maxDeadline is the maximum deadline that a caller may set.
const maxDeadline = 10 * time.Minute

// readPriorityAndDeadline reads the headers for priority and deadline.
func readPriorityAndDeadline(comp *completion, header http.Header) error {
	if text := header.Get(callerapi.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < admit.MinPriority || priority > admit.MaxPriority {
			return badRequest(callerapi.HeaderPriority, fmt.Sprintf("want a whole number from %d to %d", admit.MinPriority, admit.MaxPriority))
		}
		comp.priority = priority
	}
	if text := header.Get(callerapi.HeaderDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > int(maxDeadline.Milliseconds()) {
			return badRequest(callerapi.HeaderDeadline, fmt.Sprintf("want milliseconds from 1 to %d", maxDeadline.Milliseconds()))
		}
		comp.deadline = time.Duration(ms) * time.Millisecond
	}
	return nil
}
