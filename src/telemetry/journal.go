package telemetry

import (
	"sync"
	"time"
)

// Decision is one entry of a journal: what was decided about whom, and why.
type Decision struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"`
	What    string    `json:"what"`
	Why     string    `json:"why,omitempty"`
}

// Journal is a bounded list of decisions, the oldest overwritten first.
type Journal struct {
	mu   sync.Mutex
	ring []Decision
	next int
}

// NewJournal returns a journal of so many entries.
func NewJournal(entries int) *Journal { return &Journal{ring: make([]Decision, 0, entries)} }

// Add enters a decision.
func (j *Journal) Add(subject, what, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := Decision{time.Now(), subject, what, why}
	if len(j.ring) < cap(j.ring) {
		j.ring = append(j.ring, d)
		return
	}
	j.ring[j.next] = d
	j.next = (j.next + 1) % cap(j.ring)
}

// About returns the decisions about a subject, oldest first; "" means all.
func (j *Journal) ForSubject(subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Decision
	for i := range j.ring {
		d := j.ring[(j.next+i)%len(j.ring)]
		if subject == "" || d.Subject == subject {
			out = append(out, d)
		}
	}
	return out
}
