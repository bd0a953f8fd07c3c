package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Headers of service calls.
const (
	HeaderKey     = "Crankridge-Request-Key"
	HeaderFencing = "Crankridge-Fencing-Token"
	// HeaderNotStarted marks an error response to a call that was not executed.
	HeaderNotStarted = "Crankridge-Not-Started"
)

// ServiceFaults are the faults that a plain service simulates. Counts apply to
// the next calls.
type ServiceFaults struct {
	DelayMS     int    `json:"delay_ms"`     // time between execution and response, ms
	ResetBefore int    `json:"reset_before"` // calls reset before execution
	ResetDuring int    `json:"reset_during"` // calls reset while their body is read; they are not executed
	ResetAfter  int    `json:"reset_after"`  // calls executed, then reset without a response
	Refuse      int    `json:"refuse"`       // calls refused before execution
	RetryAfter  string `json:"retry_after"`  // value of Retry-After in refusals; empty for none
	Hang        bool   `json:"hang"`         // execute calls without ever responding
}

// Service simulates a plain service. It counts the executions of each request key.
type Service struct {
	mu            sync.Mutex
	name          string
	checksFencing bool
	faults        ServiceFaults
	runs          map[string]int
	fencingTokens map[string]int64
}

// NewService returns a service. With checksFencing it rejects calls whose fencing
// token is older than the last one accepted for the same key.
func NewService(name string, checksFencing bool) *Service {
	return &Service{name: name, checksFencing: checksFencing, runs: map[string]int{}, fencingTokens: map[string]int64{}}
}

// Handler serves calls on all paths, and the admin API.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/faults", s.serveFaults)
	r.HandleFunc("/admin/runs", s.serveRuns)
	r.PathPrefix("/").HandlerFunc(s.serveCall)
	return r
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.runs)
}

type serviceResponse struct {
	Service    string `json:"service"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	Runs       int    `json:"runs"`
	BodySHA256 string `json:"body_sha256"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.takeBodyReset() {
		_, _ = io.ReadFull(r.Body, make([]byte, 1))
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	key := r.Header.Get(HeaderKey)
	token, _ := strconv.ParseInt(r.Header.Get(HeaderFencing), 10, 64)
	s.mu.Lock()
	f := s.faults
	result := s.decideOutcome(key, token)
	runs := s.runs[key]
	s.mu.Unlock()
	switch result {
	case outcomeReset:
		panic(http.ErrAbortHandler)
	case outcomeRefuse:
		w.Header().Set(HeaderNotStarted, "1")
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case outcomeStaleToken:
		w.Header().Set(HeaderNotStarted, "1")
		http.Error(w, "older fencing token", http.StatusConflict)
		return
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
	}
	if result == outcomeExecuteThenReset {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	writeJSON(w, http.StatusOK, serviceResponse{Service: s.name, Path: r.URL.Path, Key: key, Runs: runs, BodySHA256: hex.EncodeToString(sum[:])})
}

// takeBodyReset reports whether to reset this call while its body is read.
func (s *Service) takeBodyReset() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ResetDuring == 0 {
		return false
	}
	s.faults.ResetDuring--
	return true
}

// outcome is what happens to a service call.
type outcome int

const (
	outcomeExecute outcome = iota
	outcomeExecuteThenReset
	outcomeReset
	outcomeRefuse
	outcomeStaleToken
)

func (s *Service) decideOutcome(key string, token int64) outcome {
	switch {
	case s.faults.ResetBefore > 0:
		s.faults.ResetBefore--
		return outcomeReset
	case s.faults.Refuse > 0:
		s.faults.Refuse--
		return outcomeRefuse
	case s.checksFencing && token < s.fencingTokens[key]:
		return outcomeStaleToken
	}
	s.fencingTokens[key] = token
	s.runs[key]++
	if s.faults.ResetAfter > 0 {
		s.faults.ResetAfter--
		return outcomeExecuteThenReset
	}
	return outcomeExecute
}
