package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Weights simulates the weight store. Loads are served one after the other.
type Weights struct {
	mu             sync.Mutex
	bytesPerSecond float64
	availableAt    time.Time
	loads          int
}

// NewWeights returns a store with the given total throughput.
func NewWeights(bytesPerSecond float64) *Weights { return &Weights{bytesPerSecond: bytesPerSecond} }

// Handler serves loads. The response has no body; it is delayed as long as the
// transfer would take.
func (s *Weights) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{model}/{version}", s.serve)
	return r
}

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.ParseFloat(r.URL.Query().Get("bytes"), 64)
	s.mu.Lock()
	s.loads++
	if now := time.Now(); s.availableAt.Before(now) {
		s.availableAt = now
	}
	s.availableAt = s.availableAt.Add(time.Duration(size / s.bytesPerSecond * float64(time.Second)))
	ready := s.availableAt
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Until(ready)):
	}
}
