package testservers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sassafrasfield/internal/service"
)

// ServiceFaults are the faults that a plain service's stand-in injects. The zero value injects none.
type ServiceFaults struct {
	// DelayMs delays each call by that many milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of the next calls that run but close the connection without a
	// reply.
	LoseReplies int `json:"lose_replies"`
	// Refuse answers each call with status 503 and marks it as not run.
	Refuse bool `json:"refuse"`
	// AnswerBytes is the least size of each answer.
	AnswerBytes int `json:"answer_bytes"`
}

// ServiceRecord counts the runs of the service. The keys of Runs have the form "METHOD path".
type ServiceRecord struct {
	Runs map[string]int `json:"runs"`
	// Bodies counts the runs by request body.
	Bodies map[string]int `json:"bodies"`
}

// Service is the stand-in of a plain service. It numbers the runs and answers with the number.
type Service struct {
	id string

	mu     sync.Mutex // protects all below
	faults ServiceFaults
	record ServiceRecord
	runs   int
}

// NewService returns a stand-in service.
func NewService(id string) *Service {
	return &Service{id: id, record: ServiceRecord{Runs: map[string]int{}, Bodies: map[string]int{}}}
}

// Handler serves the record and the setting of faults. All other paths run a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.run)
	mux.HandleFunc(PathRecord, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.record)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if readJSON(w, r, &faults) {
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
	number, lost := s.countRun(r, string(body))
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	answer := map[string]any{"service": s.id, "run": number, "call": fmt.Sprintf("%s %s", r.Method, r.URL.Path)}
	if faults.AnswerBytes > 0 {
		answer["padding"] = strings.Repeat("x", faults.AnswerBytes)
	}
	writeJSON(w, answer)
}

// countRun counts a run and returns its number, and whether the reply is to be lost.
func (s *Service) countRun(r *http.Request, body string) (number int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.record.Runs[r.Method+" "+r.URL.Path]++
	s.record.Bodies[body]++
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return s.runs, true
	}
	return s.runs, false
}
