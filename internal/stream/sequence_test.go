package stream

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// addAll adds events that arrive in parts, and returns what is delivered and the last error. Each part after an error
// must deliver nothing and return the same error.
func addAll(t interface{ Fatalf(string, ...any) }, s *Sequence, parts ...string) (delivered string, err error) {
	for _, part := range parts {
		before := err
		deliver, errNow := s.Add([]byte(part))
		if before != nil && (len(deliver) > 0 || part != "" && errNow != before) {
			t.Fatalf("%q after the error %v: delivered %q, error %v", part, before, deliver, errNow)
		}
		delivered += string(deliver)
		if errNow != nil {
			err = errNow
		}
	}
	return delivered, err
}

func reasonOf(err error) SequenceReason {
	var sequence *SequenceError
	if errors.As(err, &sequence) {
		return sequence.Reason
	}
	return ""
}

// sequenceCases have the blocks of a stream, of which those not dropped are marked with "+".
var sequenceCases = []struct {
	name, lastEvent string
	blocks          []string
	reason          SequenceReason
	lastID          string
	repeated        int
}{
	{"in sequence", "", []string{"+id: 1\ndata: a\n\n", "+id: 2\ndata: b\n\n"}, "", "2", 0},
	{"goes on", "2", []string{"+id: 3\ndata: c\n\n", "+id: 4\ndata: d\n\n"}, "", "4", 0},
	{"goes on from zero", "0", []string{"+id: 1\ndata: a\n\n"}, "", "1", 0},
	{"nothing", "7", nil, "", "7", 0},
	{"gap at the start", "", []string{"id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n"}, ReasonGap, "", 0},
	{"gap", "", []string{"+id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n", "id: 2\ndata: b\n\n"}, ReasonGap, "1", 0},
	{"gap after going on", "2", []string{"id: 4\ndata: d\n\n"}, ReasonGap, "2", 0},
	{"swapped", "", []string{"+id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n", "id: 2\ndata: b\n\n"}, ReasonGap, "1", 0},
	{"from the start again", "2", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "+id: 3\ndata: c\n\n"}, "", "3", 2},
	{"repeated", "", []string{"+id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "+id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n"}, "", "2", 2},
	{"only repeated", "2", []string{"id: 2\ndata: b\n\n"}, "", "2", 1},
	{"gap after repeated", "2", []string{"id: 2\ndata: b\n\n", "id: 4\ndata: d\n\n"}, ReasonGap, "2", 1},
	{"no id", "", []string{"+id: 1\ndata: a\n\n", "data: b\n\n", "id: 2\ndata: b\n\n"}, ReasonNoID, "1", 0},
	{"empty data without id", "", []string{"data\n\n"}, ReasonNoID, "", 0},
	{"empty id", "", []string{"+id: 1\ndata: a\n\n", "id\ndata: b\n\n"}, ReasonBadID, "1", 0},
	{"empty id after a number", "", []string{"id: 1\nid\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"sign", "", []string{"id: +1\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"negative", "", []string{"id: -1\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"below the first id", "", []string{"id: 0\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"two spaces", "", []string{"id:  1\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"too large", "", []string{"id: 9223372036854775808\ndata: a\n\n"}, ReasonBadID, "", 0},
	{"largest", "9223372036854775806", []string{"+id: 9223372036854775807\ndata: a\n\n", "id: 9223372036854775807\n\n"}, "", "9223372036854775807", 1},
	{"largest after none", "", []string{"id: 9223372036854775807\ndata: a\n\n"}, ReasonGap, "", 0},
	{"no space", "", []string{"+id:1\ndata:a\n\n", "+id:2\ndata:b\n\n"}, "", "2", 0},
	{"last id counts", "", []string{"+id: 9\ndata: a\nid: 1\n\n", "+id: 2\n\n"}, "", "2", 0},
	{"other field first", "", []string{"+x-weight-versions: 3\nid: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "+x: 1\nid: 2\ndata: id: 7\n\n"}, "", "2", 1},
	{"similar field", "", []string{"idx: 1\ndata: a\n\n"}, ReasonNoID, "", 0},
	{"comments", "", []string{"+: id: 5\n\n", "+id: 1\ndata: a\n\n", "+:\n: x\n\n", "id: 1\n\n", "+: y\n\n", "+id: 2\n: z\ndata: b\n\n"}, "", "2", 1},
	{"no data and no id", "", []string{"+id: 1\ndata: a\n\n", "+retry: 10\n\n", "+id: 2\ndata: b\n\n"}, "", "2", 0},
	{"blank lines", "", []string{"+\n", "+id: 1\ndata: a\n\n", "+\n", "id: 1\ndata: a\n\n", "+\n", "+id: 2\ndata: b\n\n"}, "", "2", 1},
	{"not a number before", "a-1", []string{"+id: 5\ndata: e\n\n", "id: 5\ndata: e\n\n", "+id: 6\ndata: f\n\n", "id: 8\n\n"}, ReasonGap, "6", 1},
	{"sign before", "+4", []string{"+id: 2\ndata: b\n\n"}, "", "2", 0},
	{"not a number before, nothing after", "a-1", []string{"+: x\n\n"}, "", "a-1", 0},
}

// TestOnlyEventsInSequenceAreDelivered guards against events that reach the caller out of order, twice or after a gap.
func TestOnlyEventsInSequenceAreDelivered(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for _, c := range sequenceCases {
			var parts []string
			want := ""
			for _, text := range c.blocks {
				text = strings.ReplaceAll(text, "\n", lineEnd)
				part, delivered := strings.CutPrefix(text, "+")
				parts = append(parts, part)
				if delivered {
					want += part
				}
			}
			for how, parts := range map[string][]string{"at once": {strings.Join(parts, "")}, "one by one": parts} {
				s := NewSequence(c.lastEvent)
				got, err := addAll(t, s, parts...)
				if got != want || reasonOf(err) != c.reason || s.LastID() != c.lastID || s.Repeated() != c.repeated {
					t.Errorf("%s, %s, line end %q: delivered %q, want %q, error %v, last id %q, %d repeated", c.name, how, lineEnd, got, want, err, s.LastID(), s.Repeated())
				}
			}
		}
	}
}

// TestLineEndSplitAfterAnEventIsDroppedWithIt guards against bytes of a repeated event that are delivered.
func TestLineEndSplitAfterAnEventIsDroppedWithIt(t *testing.T) {
	s := NewSequence("")
	got, err := addAll(t, s, "id: 1\r\n\r", "\nid: 1\r\n\r", "\nid: 2\r\n\r", "\n")
	if want := "id: 1\r\n\r\nid: 2\r\n\r\n"; got != want || err != nil || s.Repeated() != 1 {
		t.Errorf("%q, want %q, error %v, %d repeated", got, want, err, s.Repeated())
	}
}

// TestSequenceErrorNamesTheEvents guards against an error that does not say between which events the sequence broke.
func TestSequenceErrorNamesTheEvents(t *testing.T) {
	_, err := NewSequence("3").Add([]byte("id: 5\ndata: e\n\n"))
	var sequence *SequenceError
	if !errors.As(err, &sequence) || *sequence != (SequenceError{Last: "3", Got: "5", Reason: ReasonGap}) {
		t.Fatalf("error %v", err)
	}
	if !strings.Contains(err.Error(), `"5"`) || !strings.Contains(err.Error(), `"3"`) {
		t.Errorf("message %q", err)
	}
	_, err = NewSequence("").Add([]byte("id: " + strings.Repeat("x", 1<<10) + "\ndata: e\n\n"))
	if !errors.As(err, &sequence) || len(sequence.Got) != maxReportedID {
		t.Errorf("error %v", err)
	}
}

// TestEventsInSequenceAreNotCopied guards against a cost of the check for each event.
func TestEventsInSequenceAreNotCopied(t *testing.T) {
	const perAdd = 20
	var parts [][]byte
	for n := 1; n <= 200*perAdd; n += perAdd {
		part := ""
		for id := n; id < n+perAdd; id++ {
			part += fmt.Sprintf("x-weight-versions: 3\nid: %d\ndata: text\n\n", id)
		}
		parts = append(parts, []byte(part))
	}
	s, next := NewSequence(""), 0
	allocations := testing.AllocsPerRun(len(parts)-1, func() {
		deliver, err := s.Add(parts[next])
		if err != nil || len(deliver) != len(parts[next]) || &deliver[0] != &parts[next][0] {
			t.Fatalf("part %d: %d of %d bytes, or another slice; error %v", next, len(deliver), len(parts[next]), err)
		}
		next++
	})
	if allocations != 0 {
		t.Errorf("%v allocations for each Add", allocations)
	}
}

// drawBlock draws the lines of a block, each with a line end, and the blank line.
func drawBlock(t *rapid.T, lines ...string) string {
	var text strings.Builder
	end := ""
	for _, line := range append(lines, "") {
		ends := []string{"\n", "\r\n", "\r"}
		if line == "" && end == "\r" {
			ends = ends[1:] // a "\n" would be a part of the line end before
		}
		end = rapid.SampledFrom(ends).Draw(t, "line end")
		text.WriteString(line + end)
	}
	return text.String()
}

// drawParts splits a text at random places.
func drawParts(t *rapid.T, text string) (parts []string) {
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "bytes")
		parts = append(parts, text[:n])
		text = text[n:]
	}
	return parts
}

// splitParts returns what a new splitter completes for each part.
func splitParts(parts []string) (complete []string) {
	var events EventSplitter
	for _, part := range parts {
		complete = append(complete, string(events.Add([]byte(part))))
	}
	return complete
}

// TestDeliveredEventsFollowEachOther guards against any order and split of events that delivers another sequence.
func TestDeliveredEventsFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, 3).Draw(t, "start")
		last, repeated := start, 0
		var text, want string
		var reason SequenceReason
		for range rapid.IntRange(1, 15).Draw(t, "blocks") {
			block, deliver := "", false
			switch kind := rapid.IntRange(0, 20).Draw(t, "kind"); {
			case kind == 0:
				block, reason = drawBlock(t, "data: x"), firstReason(reason, ReasonNoID)
			case kind == 1:
				block, reason = drawBlock(t, "id: x", "data: x"), firstReason(reason, ReasonBadID)
			case kind <= 4:
				block, deliver = drawBlock(t, ": a comment"), true
			default:
				id := max(firstEventID, last+rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, -1, -3, 2}).Draw(t, "step"))
				block = drawBlock(t, "x: 1", "id: "+strconv.Itoa(id), "data: text")
				switch {
				case id > last+1:
					reason = firstReason(reason, ReasonGap)
				case reason == "" && id == last+1:
					last, deliver = id, true
				case reason == "":
					repeated++
				}
			}
			text += block
			if reason == "" && deliver {
				want += block
			}
		}
		s := NewSequence(strconv.Itoa(start))
		got, err := addAll(t, s, splitParts(drawParts(t, text))...)
		if got != want || reasonOf(err) != reason || s.Repeated() != repeated || s.LastID() != strconv.Itoa(last) {
			t.Fatalf("%q: delivered %q, want %q, error %v, want %q, last id %s, %d repeated", text, got, want, err, reason, s.LastID(), s.Repeated())
		}
	})
}

func firstReason(before, now SequenceReason) SequenceReason {
	if before != "" {
		return before
	}
	return now
}

// TestSeveralRunsYieldEachEventOnce guards against a run that goes on too early or too late after one that broke.
func TestSeveralRunsYieldEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, delivered := NewSequence(""), ""
		for range rapid.IntRange(1, 6).Draw(t, "runs") {
			last, _ := strconv.Atoi(s.LastID())
			first := max(firstEventID, last+rapid.IntRange(-3, 2).Draw(t, "first"))
			text := ""
			for n := range rapid.IntRange(1, 6).Draw(t, "events") {
				text += drawBlock(t, "id: "+strconv.Itoa(first+n), "data: text")
			}
			received := text[:rapid.IntRange(0, len(text)).Draw(t, "until the break")]
			got, err := addAll(t, s, splitParts(drawParts(t, received))...)
			delivered += got
			if err != nil && first <= last+1 {
				t.Fatalf("a run from event %d after %d: %v", first, last, err)
			}
			if err != nil {
				break
			}
		}
		ids := idsOf(delivered)
		for i, id := range ids {
			if id != strconv.Itoa(i+firstEventID) {
				t.Fatalf("delivered %q", ids)
			}
		}
		if last := s.LastID(); len(ids) > 0 && last != ids[len(ids)-1] {
			t.Fatalf("last id %s, delivered %q", last, ids)
		}
	})
}

// idsOf returns the values of the id fields of a text.
func idsOf(text string) (ids []string) {
	for _, line := range strings.FieldsFunc(text, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
