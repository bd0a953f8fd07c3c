package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Weights is the weight store: loads share one rate and wait for each other.
type Weights struct {
	mu    sync.Mutex
	rate  float64
	free  time.Time
	loads int
}

// NewWeights returns a store that gives bytesPerSecond in all.
func NewWeights(bytesPerSecond float64) *Weights { return &Weights{rate: bytesPerSecond} }

// Handler serves loads; the bytes themselves are not sent.
func (s *Weights) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{model}/{version}", s.serve)
	return r
}

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.ParseFloat(r.URL.Query().Get("bytes"), 64)
	s.mu.Lock()
	s.loads++
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(size / s.rate * float64(time.Second)))
	ready := s.free
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Until(ready)):
	}
}
