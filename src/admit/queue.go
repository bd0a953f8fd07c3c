// Package admit decides which requests may go on to an upstream, in which
// order, and which are refused at once. Its rules are pure; the clock is
// passed in.
package admit

import (
	"container/list"
	"time"
)

// fairTurns is how often, in dispatches, the request that has waited longest
// goes first whatever its priority, so that no priority starves another.
const fairTurns = 10

// Entry is one waiting request.
type Entry struct {
	Customer   string
	Weight     int // share of the customer, at least 1
	Priority   int
	Cost       float64 // any unit, the same for all
	Bytes      int
	EnqueuedAt time.Time
	Value      any

	finish float64 // virtual time at which it would end under fair sharing
	seq    int64
}

// Queue holds waiting requests. Within a priority, customers share by weight
// (start-time fair queueing); a higher priority goes first, but for every
// tenth dispatch, which takes the oldest. It is not safe for several goroutines.
type Queue struct {
	maxEntries int
	maxBytes   int
	bytes      int
	cost       float64
	seq        int64
	virtual    float64
	turn       int
	last       map[string]float64    // virtual finish of each customer's newest entry
	waiting    map[string]*list.List // by customer, in order of arrival within a priority
	count      int
}

// NewQueue returns an empty queue with its bounds.
func NewQueue(maxEntries, maxBytes int) *Queue {
	return &Queue{maxEntries: maxEntries, maxBytes: maxBytes, last: map[string]float64{}, waiting: map[string]*list.List{}}
}

// Push adds an entry; false when the queue is full.
func (q *Queue) Push(e *Entry) bool {
	if q.count >= q.maxEntries || q.bytes+e.Bytes > q.maxBytes {
		return false
	}
	q.PushUnbounded(e)
	return true
}

// Most is the highest priority that waits; -1 when nothing does.
func (q *Queue) HighestPriority() int {
	most := -1
	for _, l := range q.waiting {
		for el := l.Front(); el != nil; el = el.Next() {
			most = max(most, el.Value.(*Entry).Priority)
		}
	}
	return most
}

// Force adds an entry whatever the bounds: work that has begun and must not be lost.
func (q *Queue) PushUnbounded(e *Entry) {
	q.seq++
	e.seq = q.seq
	start := max(q.virtual, q.last[e.Customer])
	e.finish = start + e.Cost/float64(max(e.Weight, 1))
	q.last[e.Customer] = e.finish
	l := q.waiting[e.Customer]
	if l == nil {
		l = list.New()
		q.waiting[e.Customer] = l
	}
	l.PushBack(e)
	q.count++
	q.bytes += e.Bytes
	q.cost += e.Cost
}

// Pop takes the next entry, or nil.
func (q *Queue) Pop() *Entry {
	if q.count == 0 {
		return nil
	}
	q.turn++
	better := moreUrgent
	if q.turn%fairTurns == 0 {
		better = older
	}
	bestList, best := q.find(better)
	return q.take(bestList, best)
}

// PopUrgent takes the entry of the highest priority whatever the turn, or nil.
func (q *Queue) PopHighestPriority() *Entry {
	bestList, best := q.find(moreUrgent)
	if best == nil {
		return nil
	}
	return q.take(bestList, best)
}

// find returns the entry that goes before all others.
func (q *Queue) find(better func(a, b *Entry) bool) (in *list.List, best *list.Element) {
	for _, l := range q.waiting {
		for el := l.Front(); el != nil; el = el.Next() {
			if best == nil || better(el.Value.(*Entry), best.Value.(*Entry)) {
				best, in = el, l
			}
		}
	}
	return in, best
}

func moreUrgent(a, b *Entry) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.seq < b.seq
}

func older(a, b *Entry) bool { return a.seq < b.seq }

// Remove takes out an entry that no longer waits; false when it is not there.
func (q *Queue) Remove(e *Entry) bool {
	l := q.waiting[e.Customer]
	if l == nil {
		return false
	}
	for el := l.Front(); el != nil; el = el.Next() {
		if el.Value == e {
			q.take(l, el)
			return true
		}
	}
	return false
}

func (q *Queue) take(l *list.List, el *list.Element) *Entry {
	e := l.Remove(el).(*Entry)
	if l.Len() == 0 {
		delete(q.waiting, e.Customer)
	}
	q.count--
	q.bytes -= e.Bytes
	q.cost -= e.Cost
	q.virtual = max(q.virtual, e.finish-e.Cost/float64(max(e.Weight, 1)))
	if q.count == 0 {
		clear(q.last)
		q.virtual = 0
	}
	return e
}

// Len is the number of entries, and Bytes their size.
func (q *Queue) Len() int { return q.count }

// Bytes is the size of all entries.
func (q *Queue) Bytes() int { return q.bytes }

// Ahead is the cost that would be served before a new entry of a customer
// starts: all of higher priority, and of its own priority what its fair share
// lets go first. A customer below its share is not kept out by another's
// backlog, and one above it learns how long its own is.
func (q *Queue) CostAhead(customer string, weight, priority int) float64 {
	higher, equal, own := 0.0, 0.0, 0.0
	weights := float64(max(weight, 1))
	for name, l := range q.waiting {
		counted := false
		for el := l.Front(); el != nil; el = el.Next() {
			e := el.Value.(*Entry)
			switch {
			case e.Priority > priority:
				higher += e.Cost
			case e.Priority == priority:
				equal += e.Cost
				if name == customer {
					own += e.Cost
				} else if !counted {
					counted = true
					weights += float64(max(e.Weight, 1))
				}
			}
		}
	}
	return higher + min(own*weights/float64(max(weight, 1)), equal)
}
