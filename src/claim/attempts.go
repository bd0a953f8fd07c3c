package claim

import (
	"sync"
	"time"
)

// State is where an attempt stands at its coordinator.
type State int

// The states of an attempt. Released and Done are final; a released attempt
// is never sent.
const (
	Unknown State = iota
	Claiming
	Sent
	Released
	Done
)

// Attempts is a coordinator's own list of its attempts. Whether an attempt is
// sent or released is decided here, under one lock.
type Attempts struct {
	mu     sync.Mutex
	states map[string]attemptState
}

type attemptState struct {
	state State
	since time.Time
}

// NewAttempts returns an empty list.
func NewAttempts() *Attempts { return &Attempts{states: map[string]attemptState{}} }

// Begin enters a new attempt.
func (a *Attempts) Begin(id string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.states[id] = attemptState{Claiming, now}
}

// Send marks the attempt as sent; false when it was released before. The
// caller must not send on false.
func (a *Attempts) Send(id string, now time.Time) bool {
	return a.move(id, now, Sent, Claiming)
}

// Release marks the attempt as never to be sent; false when it was sent.
func (a *Attempts) Release(id string, now time.Time) bool {
	return a.move(id, now, Released, Claiming, Released)
}

// Withdraw marks the attempt as released although it was about to be sent. It
// is for the goroutine that runs the attempt, once it knows that no byte of
// it reached an upstream and that none will.
func (a *Attempts) Withdraw(id string, now time.Time) {
	a.move(id, now, Released, Claiming, Sent)
}

// Released tells whether the attempt was released.
func (a *Attempts) Released(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.states[id].state == Released
}

// Finish marks a sent attempt as ended.
func (a *Attempts) Finish(id string, now time.Time) { a.move(id, now, Done, Sent) }

func (a *Attempts) move(id string, now time.Time, to State, from ...State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	have, ok := a.states[id]
	if !ok {
		return false
	}
	for _, f := range from {
		if have.state == f {
			a.states[id] = attemptState{to, now}
			return true
		}
	}
	return false
}

// Yield answers a rival's question. An attempt that still claims gives way to
// a rival with the smaller id, so that of two rivals exactly one gives way.
func (a *Attempts) Yield(id, rival string, now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	have, ok := a.states[id]
	if !ok {
		return Unknown
	}
	if have.state == Claiming && rival != "" && rival < id {
		have = attemptState{Released, now}
		a.states[id] = have
	}
	return have.state
}

// Expire forgets ended attempts older than window.
func (a *Attempts) Expire(now time.Time, window time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.states {
		if s.state != Claiming && s.state != Sent && now.Sub(s.since) > window {
			delete(a.states, id)
		}
	}
}
