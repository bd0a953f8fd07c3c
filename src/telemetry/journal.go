package telemetry

import (
	"sync"
	"time"
)

// Decision is a journal entry: an action taken on a subject and the reason for it.
type Decision struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"`
	What    string    `json:"what"`
	Why     string    `json:"why,omitempty"`
}

// Journal is a ring buffer of recent decisions.
type Journal struct {
	mu   sync.Mutex
	ring []Decision
	next int
}

// NewJournal returns a journal that keeps the given number of entries.
func NewJournal(entries int) *Journal { return &Journal{ring: make([]Decision, 0, entries)} }

// Add records a decision, replacing the oldest one if the journal is full.
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

// ForSubject returns the decisions on a subject, oldest first. An empty subject
// matches all.
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
