package testservers

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"sassafrasfield/internal/service"
)

// ServiceFaults are the faults of a plain service's stand-in.
type ServiceFaults struct {
	// DelayMs is added to each call.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is how many of the next calls run and break the connection
	// in place of an answer.
	LoseReplies int `json:"lose_replies"`
	// Refuse answers each call with 503 and "not run".
	Refuse bool `json:"refuse"`
}

// ServiceRecord is the service's own record of runs, by "METHOD path".
type ServiceRecord struct {
	Runs map[string]int `json:"runs"`
	// Bodies counts the runs by request body.
	Bodies map[string]int `json:"bodies"`
}

// Service is the stand-in of a plain service: each run gets a number.
type Service struct {
	id string

	mu     sync.Mutex // protects all below
	faults ServiceFaults
	book   ServiceRecord
	runs   int
}

// NewService returns a stand-in service.
func NewService(id string) *Service {
	return &Service{id: id, book: ServiceRecord{Runs: map[string]int{}, Bodies: map[string]int{}}}
}

// Handler serves all paths but the switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.run)
	mux.HandleFunc(PathRecord, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, s.book)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if read(w, r, &faults) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults = faults
		}
	})
	return mux
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Refuse {
		w.Header().Set(service.NotRunHeader, "1")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	number, lost := s.record(r, string(body))
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	reply(w, map[string]any{"service": s.id, "run": number, "call": fmt.Sprintf("%s %s", r.Method, r.URL.Path)})
}

func (s *Service) record(r *http.Request, body string) (number int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.book.Runs[r.Method+" "+r.URL.Path]++
	s.book.Bodies[body]++
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return s.runs, true
	}
	return s.runs, false
}
