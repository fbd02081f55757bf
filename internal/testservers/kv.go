package testservers

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
)

// PathKVData is where an importing engine reads exported KV cache.
const PathKVData = "/kv/data"

// kvKept is how long KV cache waits to be read, or to be used.
const kvKept = 30 * time.Second

// kvEntry is KV cache of a prompt.
type kvEntry struct {
	tokens int
	until  time.Time
}

// export offers the KV cache of a stream's prompt to another engine. The offer
// is gone once it was read, after kvKept, at a crash, and with a disruptive order.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var id engine.StreamID
	if !read(w, r, &id) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.streams[id.ID]
	if !ok || g.broken {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	handle := "kv-" + e.boot + "-" + id.ID
	tokens := g.promptTokens - g.prefillLeft
	e.exports[handle] = kvEntry{tokens: tokens, until: time.Now().Add(kvKept)}
	reply(w, engine.KVExport{Handle: handle, Source: r.Host, Tokens: tokens})
}

// kvData sends exported KV cache, at the pace of KVRate.
func (e *Engine) kvData(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e.mu.Lock()
	entry, ok := e.exports[handle]
	if ok {
		e.book.Exported++
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such KV cache", http.StatusNotFound)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.transferTime(entry.tokens)):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.exports[handle]; !ok {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	delete(e.exports, handle)
	reply(w, engine.KVExport{Handle: handle, Tokens: entry.tokens})
}

// transferTime is how long a read of KV cache takes; a rate of 0 is no limit.
func (e *Engine) transferTime(tokens int) time.Duration {
	if e.options.KVRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.options.KVRate * float64(time.Second))
}

// importKV reads KV cache from the engine that exported it.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KVExport
	if !read(w, r, &kv) {
		return
	}
	e.mu.Lock()
	boot := e.boot
	e.mu.Unlock()
	got, err := fetchKV(r, kv)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || e.boot != boot {
		http.Error(w, "the KV cache could not be read", http.StatusBadGateway)
		return
	}
	e.imports[kv.Handle] = kvEntry{tokens: got.Tokens, until: time.Now().Add(kvKept)}
	e.book.Imported++
}

func fetchKV(r *http.Request, kv engine.KVExport) (engine.KVExport, error) {
	var got engine.KVExport
	address := url.URL{Scheme: "http", Host: kv.Source, Path: PathKVData, RawQuery: url.Values{"handle": {kv.Handle}}.Encode()}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, address.String(), nil)
	if err != nil {
		return got, errors.WithStack(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return got, errors.WithStack(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return got, errors.Errorf("status %d", res.StatusCode)
	}
	return got, errors.WithStack(json.NewDecoder(res.Body).Decode(&got))
}

// takeImport uses imported KV cache up, and returns its tokens; 0 for none. The
// lock is held.
func (e *Engine) takeImport(handle string) int {
	entry, ok := e.imports[handle]
	if !ok {
		return 0
	}
	delete(e.imports, handle)
	e.book.Reused++
	return entry.tokens
}

// forgetKV drops KV cache that nobody came for. The lock is held.
func (e *Engine) forgetKV(now time.Time) {
	for _, entries := range []map[string]kvEntry{e.exports, e.imports} {
		for handle, entry := range entries {
			if now.After(entry.until) {
				delete(entries, handle)
			}
		}
	}
}
