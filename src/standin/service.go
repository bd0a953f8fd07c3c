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

// Headers that the system sends with each service call.
const (
	HeaderKey     = "Crankridge-Request-Key"
	HeaderFencing = "Crankridge-Fencing-Token"
	// HeaderNotStarted marks a refusal given before anything was done.
	HeaderNotStarted = "Crankridge-Not-Started"
)

// ServiceFaults are the ways in which a plain service can fail.
type ServiceFaults struct {
	DelayMS     int  `json:"delay_ms"`     // between running a call and answering it
	ResetBefore int  `json:"reset_before"` // next calls whose connection is reset before they run
	ResetDuring int  `json:"reset_during"` // next calls reset while their body arrives; they do not run
	ResetAfter  int  `json:"reset_after"`  // next calls that run and are reset unanswered
	Refuse      int  `json:"refuse"`       // next calls refused before they start
	Hang        bool `json:"hang"`
}

// Service records how often each request key was run.
type Service struct {
	mu      sync.Mutex
	name    string
	fencing bool
	faults  ServiceFaults
	runs    map[string]int
	tokens  map[string]int64
}

// NewService returns a plain service; fencing makes it check fencing tokens.
func NewService(name string, fencing bool) *Service {
	return &Service{name: name, fencing: fencing, runs: map[string]int{}, tokens: map[string]int64{}}
}

// Handler serves calls at every path, and the admin calls.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/faults", s.setFaults)
	r.HandleFunc("/admin/runs", s.showRuns)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Service) showRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.runs)
}

type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Runs    int    `json:"runs"`
	Body    string `json:"body_sha256"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.resetsBody() {
		_, _ = io.ReadFull(r.Body, make([]byte, 1))
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return
	}
	key := r.Header.Get(HeaderKey)
	token, _ := strconv.ParseInt(r.Header.Get(HeaderFencing), 10, 64)
	s.mu.Lock()
	f := s.faults
	act := s.decide(key, token)
	runs := s.runs[key]
	s.mu.Unlock()
	switch act {
	case actReset:
		panic(http.ErrAbortHandler)
	case actRefuse:
		w.Header().Set(HeaderNotStarted, "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case actFence:
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
	if act == actRunReset {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	writeJSON(w, http.StatusOK, serviceAnswer{Service: s.name, Path: r.URL.Path, Key: key, Runs: runs, Body: hex.EncodeToString(sum[:])})
}

func (s *Service) resetsBody() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ResetDuring == 0 {
		return false
	}
	s.faults.ResetDuring--
	return true
}

type action int

const (
	actRun action = iota
	actRunReset
	actReset
	actRefuse
	actFence
)

func (s *Service) decide(key string, token int64) action {
	switch {
	case s.faults.ResetBefore > 0:
		s.faults.ResetBefore--
		return actReset
	case s.faults.Refuse > 0:
		s.faults.Refuse--
		return actRefuse
	case s.fencing && token < s.tokens[key]:
		return actFence
	}
	s.tokens[key] = token
	s.runs[key]++
	if s.faults.ResetAfter > 0 {
		s.faults.ResetAfter--
		return actRunReset
	}
	return actRun
}
