package request

import (
	"context"
	"sync"
	"time"
)

// Flight is one request in progress at its coordinator, or lately ended. The
// goroutine that runs it appends; any number of readers follow.
type Flight struct {
	Key        string
	Digest     []byte
	Attempt    string
	Repeatable bool
	Priority   int
	Customer   string
	StartedAt  time.Time
	// Certain says that no earlier try by this key can have run. It belongs
	// to the goroutine that runs the flight.
	FirstUse bool
	// Claimed says that keepers may hold this flight's attempt. It belongs to
	// the goroutine that runs the flight.
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
	stream   string
}

// NewFlight returns a flight; cancel ends its run.
func NewFlight(key string, digest []byte, attempt string, repeatable bool, now time.Time, cancel context.CancelFunc) *Flight {
	return &Flight{
		Key: key, Digest: digest, Attempt: attempt, Repeatable: repeatable, StartedAt: now,
		changed: make(chan struct{}), lastRead: now, cancel: cancel,
	}
}

// Append adds one delivered token and returns how many there are.
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

// Given is the text delivered so far and its number of tokens.
func (f *Flight) Delivered() (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.text), len(f.tokens)
}

// Size is the bytes of text delivered so far.
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

// Finish sets the answer; only the first call counts.
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

// Answer returns the end of the request, or nil while it runs.
func (f *Flight) Answer() *Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer
}

// Since returns the tokens after the first n, the answer when it is known,
// and a channel that closes at the next change. The tokens are shared; they
// must not be changed.
func (f *Flight) Since(n int) (tokens []string, answer *Answer, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = min(max(n, 0), len(f.tokens))
	return f.tokens[n:len(f.tokens):len(f.tokens)], f.answer, f.changed
}

// Hold counts a reader in; the returned function counts it out.
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

// Touch notes that somebody asked for the flight at the time now.
func (f *Flight) Touch(now time.Time) {
	f.mu.Lock()
	f.lastRead = now
	f.mu.Unlock()
}

// Abandoned tells whether nobody has read for so long.
func (f *Flight) Abandoned(now time.Time, grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers == 0 && now.Sub(f.lastRead) > grace
}

// Cancel ends the run.
func (f *Flight) Cancel() { f.cancel() }

// At notes where the request runs now.
func (f *Flight) SetLocation(engine, stream string) {
	f.mu.Lock()
	f.engine, f.stream = engine, stream
	f.mu.Unlock()
}

// Place tells where the request runs now.
func (f *Flight) Location() (engine, stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine, f.stream
}
