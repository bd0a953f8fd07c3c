package claim

import (
	"sync"
	"time"
)

// State is the state of an attempt at its coordinator.
type State int

// States of an attempt. Released and Done are final, and a released attempt is
// never sent.
const (
	Unknown State = iota
	Claiming
	Sent
	Released
	Done
)

// Attempts tracks the attempts of one coordinator. It is safe for concurrent use:
// of Send and Release for the same attempt, only one succeeds.
type Attempts struct {
	mu     sync.Mutex
	states map[string]attemptState
}

type attemptState struct {
	state State
	since time.Time
}

// NewAttempts returns an empty Attempts.
func NewAttempts() *Attempts { return &Attempts{states: map[string]attemptState{}} }

// Begin adds a new attempt in state Claiming.
func (a *Attempts) Begin(id string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.states[id] = attemptState{Claiming, now}
}

// Send marks the attempt as sent. It returns false if the attempt is unknown or
// not in state Claiming; the caller must not send it then.
func (a *Attempts) Send(id string, now time.Time) bool {
	return a.transition(id, now, Sent, Claiming)
}

// Release marks the attempt as released. It returns false if the attempt was
// already sent or is unknown.
func (a *Attempts) Release(id string, now time.Time) bool {
	return a.transition(id, now, Released, Claiming, Released)
}

// Withdraw marks the attempt as released even if it is in state Sent. Only the
// goroutine that runs the attempt may call it, and only if no byte of the
// request has reached an upstream or will.
func (a *Attempts) Withdraw(id string, now time.Time) {
	a.transition(id, now, Released, Claiming, Sent)
}

// Released reports whether the attempt was released.
func (a *Attempts) Released(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.states[id].state == Released
}

// Finish marks a sent attempt as done.
func (a *Attempts) Finish(id string, now time.Time) { a.transition(id, now, Done, Sent) }

func (a *Attempts) transition(id string, now time.Time, to State, from ...State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, ok := a.states[id]
	if !ok {
		return false
	}
	for _, f := range from {
		if current.state == f {
			a.states[id] = attemptState{to, now}
			return true
		}
	}
	return false
}

// Yield returns the state of an attempt to a rival attempt for the same key. If
// the attempt is in state Claiming and the rival has the smaller ID, it is released
// first, so that exactly one of two attempts yields. With an empty rival, Yield
// only returns the state.
func (a *Attempts) Yield(id, rival string, now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, ok := a.states[id]
	if !ok {
		return Unknown
	}
	if current.state == Claiming && rival != "" && rival < id {
		current = attemptState{Released, now}
		a.states[id] = current
	}
	return current.state
}

// Expire removes attempts that ended more than retention ago.
func (a *Attempts) Expire(now time.Time, retention time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.states {
		if s.state != Claiming && s.state != Sent && now.Sub(s.since) > retention {
			delete(a.states, id)
		}
	}
}
