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

// kvRetention is how long exported KV cache can be read and imported KV cache can be used.
const kvRetention = 30 * time.Second

// kvEntry is the KV cache of one prompt.
type kvEntry struct {
	tokens    int
	expiresAt time.Time
}

// export makes the KV cache of a stream's prompt readable by another engine. It is removed once it
// was read, after kvRetention, at a crash and by a disruptive order.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var id engine.StreamID
	if !readJSON(w, r, &id) {
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
	e.exports[handle] = kvEntry{tokens: tokens, expiresAt: time.Now().Add(kvRetention)}
	writeJSON(w, engine.KVExport{Handle: handle, Source: r.Host, Tokens: tokens})
}

// kvData sends exported KV cache after the time that the transfer takes at KVRate.
func (e *Engine) kvData(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e.mu.Lock()
	entry, ok := e.exports[handle]
	if ok {
		e.record.Exported++
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
	writeJSON(w, engine.KVExport{Handle: handle, Tokens: entry.tokens})
}

// transferTime returns the duration of a read of KV cache. It is 0 if KVRate is not set.
func (e *Engine) transferTime(tokens int) time.Duration {
	if e.options.KVRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.options.KVRate * float64(time.Second))
}

// importKV reads KV cache from the engine that exported it.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KVExport
	if !readJSON(w, r, &kv) {
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
	e.imports[kv.Handle] = kvEntry{tokens: got.Tokens, expiresAt: time.Now().Add(kvRetention)}
	e.record.Imported++
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

// consumeImport removes imported KV cache and returns its number of tokens, or 0 if there is none.
// The lock is held.
func (e *Engine) consumeImport(handle string) int {
	entry, ok := e.imports[handle]
	if !ok {
		return 0
	}
	delete(e.imports, handle)
	e.record.Reused++
	return entry.tokens
}

// evictExpiredKV deletes exports and imports that were not used in time. The lock is held.
func (e *Engine) evictExpiredKV(now time.Time) {
	for _, entries := range []map[string]kvEntry{e.exports, e.imports} {
		for handle, entry := range entries {
			if now.After(entry.expiresAt) {
				delete(entries, handle)
			}
		}
	}
}
