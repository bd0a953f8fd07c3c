package request

import (
	"context"
	"sync"
	"time"
)

// Flight is a request that is in progress at its coordinator or has recently
// ended there. One goroutine runs it and appends tokens, and any number of
// readers may follow it.
type Flight struct {
	Key        string
	Digest     []byte // hash of the request, by which the reuse of its key for another one is detected
	Attempt    string // ID of the attempt
	Repeatable bool
	Priority   int
	Customer   string
	StartedAt  time.Time
	// FirstUse means that no earlier attempt with this key can have run. Only
	// the goroutine that runs the flight may access it.
	FirstUse bool
	// Claimed means that keepers may hold this flight's attempt. Only the
	// goroutine that runs the flight may access it.
	Claimed bool

	mu       sync.Mutex
	tokens   []string
	text     []byte
	answer   *Answer
	changed  chan struct{}
	readers  int
	lastRead time.Time
	cancel   context.CancelFunc
	engine   string
	stream   string // ID at the engine
}

// NewFlight returns a flight that is canceled by calling cancel.
func NewFlight(key string, digest []byte, attempt string, repeatable bool, now time.Time, cancel context.CancelFunc) *Flight {
	return &Flight{
		Key: key, Digest: digest, Attempt: attempt, Repeatable: repeatable, StartedAt: now,
		changed: make(chan struct{}), lastRead: now, cancel: cancel,
	}
}

// Append adds a token and returns the number of tokens. After Finish it has no
// effect.
func (f *Flight) Append(token string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answer != nil {
		return len(f.tokens)
	}
	f.tokens = append(f.tokens, token)
	f.text = append(f.text, token...)
	f.notify()
	return len(f.tokens)
}

// Delivered returns the text appended so far and its number of tokens.
func (f *Flight) Delivered() (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.text), len(f.tokens)
}

// Size returns the length in bytes of the text appended so far.
func (f *Flight) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.text)
}

// Tokens returns a copy of all tokens.
func (f *Flight) Tokens() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.tokens...)
}

// Finish sets the answer. It returns false if an answer was already set.
func (f *Flight) Finish(a Answer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answer != nil {
		return false
	}
	f.answer = &a
	f.notify()
	return true
}

func (f *Flight) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Answer returns the final answer, or nil while the request is in progress.
func (f *Flight) Answer() *Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer
}

// Since returns the tokens after the first n, the answer if there is one, and a
// channel that is closed at the next change. The caller must not modify the
// tokens.
func (f *Flight) Since(n int) (tokens []string, answer *Answer, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = min(max(n, 0), len(f.tokens))
	return f.tokens[n:len(f.tokens):len(f.tokens)], f.answer, f.changed
}

// AddReader registers a reader. The returned function removes it.
func (f *Flight) AddReader(now func() time.Time) (release func()) {
	f.mu.Lock()
	f.readers++
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		f.readers--
		f.lastRead = now()
		f.mu.Unlock()
	}
}

// Touch records that the flight was accessed at now.
func (f *Flight) Touch(now time.Time) {
	f.mu.Lock()
	f.lastRead = now
	f.mu.Unlock()
}

// Abandoned reports whether the flight has no readers and was last read more
// than grace ago.
func (f *Flight) Abandoned(now time.Time, grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers == 0 && now.Sub(f.lastRead) > grace
}

// Cancel cancels the request.
func (f *Flight) Cancel() { f.cancel() }

// SetLocation sets the engine and stream that run the request.
func (f *Flight) SetLocation(engine, stream string) {
	f.mu.Lock()
	f.engine, f.stream = engine, stream
	f.mu.Unlock()
}

// Location returns the engine and stream that run the request.
func (f *Flight) Location() (engine, stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine, f.stream
}
