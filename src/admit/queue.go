// Package admit implements admission control: rate limits shared by all nodes
// and a bounded queue with priorities and weighted fair sharing. Limiter divides
// a limit among the nodes by their demand; SharedLimiter keeps a bucket for the
// whole limit of each customer on every node and charges the admissions of all nodes
// to it. The caller passes in the current time.
package admit

import (
	"container/list"
	"time"
)

// oldestFirstInterval is the number of dispatches after which the oldest entry
// is taken regardless of priority, so that low priorities are not starved.
const oldestFirstInterval = 10

// Entry is one waiting request.
type Entry struct {
	Customer   string
	Weight     int     // weight of the customer, at least 1
	Priority   int     // the highest value goes first, unlike in SharedLimiter
	Cost       float64 // in any unit that is the same for all entries
	Bytes      int
	EnqueuedAt time.Time
	Value      any // the caller's request; not used by the queue

	virtualFinish float64 // virtual finish time under fair queueing
	seq           int64
}

// Queue holds waiting requests. Higher priorities go first, and within a
// priority customers share by weight: entries go in order of their virtual
// finish time (weighted fair queueing). Every oldestFirstInterval-th dispatch
// takes the oldest entry instead. A Queue is not safe for concurrent use.
type Queue struct {
	maxEntries  int
	maxBytes    int
	bytes       int
	cost        float64
	seq         int64
	virtualTime float64
	dispatches  int
	lastFinish  map[string]float64    // virtual finish time of each customer's newest entry
	byCustomer  map[string]*list.List // in order of arrival
	count       int
}

// NewQueue returns an empty queue that holds at most maxEntries entries and
// maxBytes bytes.
func NewQueue(maxEntries, maxBytes int) *Queue {
	return &Queue{maxEntries: maxEntries, maxBytes: maxBytes, lastFinish: map[string]float64{}, byCustomer: map[string]*list.List{}}
}

// Push adds an entry. It returns false if there is no room for it.
func (q *Queue) Push(e *Entry) bool {
	if q.count >= q.maxEntries || q.bytes+e.Bytes > q.maxBytes {
		return false
	}
	q.PushUnbounded(e)
	return true
}

// HighestPriority returns the highest priority in the queue, or -1 if it is empty.
func (q *Queue) HighestPriority() int {
	highest := -1
	for _, l := range q.byCustomer {
		for el := l.Front(); el != nil; el = el.Next() {
			highest = max(highest, el.Value.(*Entry).Priority)
		}
	}
	return highest
}

// PushUnbounded adds an entry even if the queue is full. It is for requests
// that have already started and must not be dropped.
func (q *Queue) PushUnbounded(e *Entry) {
	q.seq++
	e.seq = q.seq
	start := max(q.virtualTime, q.lastFinish[e.Customer])
	e.virtualFinish = start + e.Cost/float64(max(e.Weight, 1))
	q.lastFinish[e.Customer] = e.virtualFinish
	l := q.byCustomer[e.Customer]
	if l == nil {
		l = list.New()
		q.byCustomer[e.Customer] = l
	}
	l.PushBack(e)
	q.count++
	q.bytes += e.Bytes
	q.cost += e.Cost
}

// Pop removes and returns the next entry, or nil if the queue is empty.
func (q *Queue) Pop() *Entry {
	if q.count == 0 {
		return nil
	}
	q.dispatches++
	less := higherPriority
	if q.dispatches%oldestFirstInterval == 0 {
		less = arrivedEarlier
	}
	return q.dispatch(q.findFirst(less))
}

// PopHighestPriority removes and returns the first entry in order of priority. It
// never takes the oldest entry instead, and returns nil if the queue is empty.
func (q *Queue) PopHighestPriority() *Entry {
	bestList, best := q.findFirst(higherPriority)
	if best == nil {
		return nil
	}
	return q.dispatch(bestList, best)
}

// dispatch removes the entry and advances the virtual time to its start.
func (q *Queue) dispatch(l *list.List, el *list.Element) *Entry {
	e := el.Value.(*Entry)
	q.virtualTime = max(q.virtualTime, e.virtualFinish-e.Cost/float64(max(e.Weight, 1)))
	q.removeElement(l, el)
	return e
}

// findFirst returns the entry that less orders before all others, and its list.
func (q *Queue) findFirst(less func(a, b *Entry) bool) (bestList *list.List, best *list.Element) {
	for _, l := range q.byCustomer {
		for el := l.Front(); el != nil; el = el.Next() {
			if best == nil || less(el.Value.(*Entry), best.Value.(*Entry)) {
				best, bestList = el, l
			}
		}
	}
	return bestList, best
}

func higherPriority(a, b *Entry) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.seq < b.seq
}

func arrivedEarlier(a, b *Entry) bool { return a.seq < b.seq }

// Remove removes an entry. It returns false if the entry is not in the queue.
func (q *Queue) Remove(e *Entry) bool {
	l := q.byCustomer[e.Customer]
	if l == nil {
		return false
	}
	for el := l.Front(); el != nil; el = el.Next() {
		if el.Value == e {
			q.removeElement(l, el)
			return true
		}
	}
	return false
}

func (q *Queue) removeElement(l *list.List, el *list.Element) {
	e := l.Remove(el).(*Entry)
	if l.Len() == 0 {
		delete(q.byCustomer, e.Customer)
	}
	q.count--
	q.bytes -= e.Bytes
	q.cost -= e.Cost
	if q.count == 0 {
		clear(q.lastFinish)
		q.virtualTime = 0
	}
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.count }

// Bytes returns the total size of the entries.
func (q *Queue) Bytes() int { return q.bytes }

// CostAhead estimates the cost served before a new entry of a customer starts:
// that of all entries of higher priority and, at the same priority, that of the
// customer's own backlog and of the other customers' entries that fair sharing
// serves in the same time.
func (q *Queue) CostAhead(customer string, weight, priority int) float64 {
	higher, same, own := 0.0, 0.0, 0.0
	weights := float64(max(weight, 1))
	for name, l := range q.byCustomer {
		counted := false
		for el := l.Front(); el != nil; el = el.Next() {
			e := el.Value.(*Entry)
			switch {
			case e.Priority > priority:
				higher += e.Cost
			case e.Priority == priority:
				same += e.Cost
				if name == customer {
					own += e.Cost
				} else if !counted {
					counted = true
					weights += float64(max(e.Weight, 1))
				}
			}
		}
	}
	return higher + min(own*weights/float64(max(weight, 1)), same)
}
