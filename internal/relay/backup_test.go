package relay

import (
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/placement"
)

func shortPrompt(path string) *Request {
	req := call(path)
	req.Prompt = &placement.Prompt{Tokens: 1000, MaxOutput: 10}
	return req
}

// TestSingleRunStreamContinuesAtBackup: an engine crashes in the middle of a stream that must not
// run twice. Without the copy on the backup, callers received a truncated stream.
func TestSingleRunStreamContinuesAtBackup(t *testing.T) {
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\nid: 2\nda"), nil
		}
		return events("id: 2\ndata: b\n\n"), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, shortPrompt("/once/1"))
	if err != nil || w.Body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatalf("%v %q", err, w.Body.String())
	}
	first, second := f.calls[0], f.calls[1]
	if first.send.Backup.ID == "" || first.send.Backup.ID == first.to || second.to != first.send.Backup.ID {
		t.Errorf("ran at %q, copied to %q, continued at %q", first.to, first.send.Backup.ID, second.to)
	}
	if second.send.KV.Handle != "r1" || second.send.KV.Engine.ID != second.to || second.send.LastEvent != "1" {
		t.Errorf("continued with %+v", second.send)
	}
}

func TestStreamWithoutCopyIsAborted(t *testing.T) {
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\n"), nil
		}
		return nil, ErrRefused // the copy had not arrived
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	if _, err := serve(r, shortPrompt("/once/1")); !errors.Is(err, ErrAnswerAborted) {
		t.Errorf("%v", err)
	}
	if f.count() != 2 {
		t.Errorf("%d sends", f.count())
	}
}

// TestRunIsNotContinuedBeforeFirstEvent: the outcome at an engine that never sent an event is unknown.
func TestRunIsNotContinuedBeforeFirstEvent(t *testing.T) {
	for name, answer := range map[string]func() (*Reply, error){
		"nothing":       func() (*Reply, error) { return nil, ErrNoValidAnswer },
		"a header only": func() (*Reply, error) { return truncated(""), nil },
		"half an event": func() (*Reply, error) { return truncated("id: 1\nda"), nil },
	} {
		f := &fakeSender{run: func(int, Send) (*Reply, error) { return answer() }}
		if _, err := serve(newFake(t, f), shortPrompt("/once/1")); err == nil || f.count() != 1 {
			t.Errorf("%s: %v after %d sends", name, err, f.count())
		}
	}
}

func TestLongAndRepeatableRunsAreNotCopied(t *testing.T) {
	for _, req := range []*Request{longPrompt("/once/1"), shortPrompt("/resumable/1")} {
		f := &fakeSender{}
		if _, err := serve(newFake(t, f), req); err != nil {
			t.Fatal(err)
		}
		if last := f.calls[len(f.calls)-1]; last.send.Backup.ID != "" {
			t.Errorf("%s with %d tokens is copied", req.Path, req.Prompt.Tokens)
		}
	}
}
