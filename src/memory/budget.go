// Package memory bounds the bytes that a process holds for its clients' requests, fairly between
// the owners of what is held.
package memory

import (
	"errors"
	"io"
	"sync"
)

// ErrFull is the error of a read for which the budget has no room.
var ErrFull = errors.New("no memory left for this request")

// sharePerFree bounds what one owner holds, as a multiple of what is free. An owner without others
// can hold two thirds of the budget; what is left then is for the others.
const sharePerFree = 2

// Budget is a number of bytes that may be held at a time. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	byOwner map[string]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, byOwner: map[string]int64{}} }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Largest returns the most that one owner can hold, in bytes: a body that is larger never fits.
func (b *Budget) Largest() int64 { return b.limit * sharePerFree / (sharePerFree + 1) }

// take takes bytes for an owner, unless that leaves too few for others.
func (b *Budget) take(owner string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, free := b.byOwner[owner]+bytes, b.limit-b.used-bytes
	if free < 0 || held > sharePerFree*free {
		return false
	}
	b.used += bytes
	b.byOwner[owner] = held
	return true
}

func (b *Budget) release(owner string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.byOwner[owner] -= bytes
	if b.byOwner[owner] == 0 {
		delete(b.byOwner, owner)
	}
}

// Hold is what one request holds of a budget. It must be closed, and is not safe for concurrent
// use.
type Hold struct {
	budget *Budget
	owner  string
	bytes  int64
}

// Open returns a hold of nothing yet.
func (b *Budget) Open(owner string) *Hold { return &Hold{budget: b, owner: owner} }

// Grow adds bytes to the hold, and reports whether there was room.
func (h *Hold) Grow(bytes int64) bool {
	if more := charge(h.bytes+bytes) - charge(h.bytes); more > 0 && !h.budget.take(h.owner, more) {
		return false
	}
	h.bytes += bytes
	return true
}

// Shrink returns bytes of the hold.
func (h *Hold) Shrink(bytes int64) {
	if less := charge(h.bytes) - charge(h.bytes-bytes); less > 0 {
		h.budget.release(h.owner, less)
	}
	h.bytes -= bytes
}

// charge returns what a hold of the given bytes takes from the budget.
func charge(bytes int64) int64 { return max(bytes-allowance, 0) }

// Close returns all that is held.
func (h *Hold) Close() { h.Shrink(h.bytes) }

// Sizes, in bytes.
const (
	minBuffer = 4 << 10 // first buffer for a body of unknown length
	allowance = 8 << 10 // that each hold has beside the budget: small bodies are never refused
)

// ReadAll reads r to its end into a buffer that the hold accounts for; its capacity is to be
// returned by Shrink. size is the length of what is read, or negative if it is unknown. If there is
// no room it returns what has been read, and ErrFull.
func (h *Hold) ReadAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		size = minBuffer
	}
	size++ // the end is read too
	if !h.Grow(size) {
		return nil, ErrFull
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			larger, ok := h.enlarge(buffer)
			if !ok {
				return buffer, ErrFull
			}
			buffer = larger
		}
		count, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// enlarge returns a copy of the buffer with twice its capacity.
func (h *Hold) enlarge(buffer []byte) ([]byte, bool) {
	before := int64(cap(buffer))
	if !h.Grow(2 * before) {
		return nil, false
	}
	larger := make([]byte, len(buffer), 2*before)
	copy(larger, buffer)
	h.Shrink(before)
	return larger, true
}
