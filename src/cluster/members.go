// Package cluster spreads what each gateway node tells of itself, and changes
// of the store, between the nodes: by direct exchange, and passed on by others
// for nodes that do not reach each other. It steers work and divides limits;
// it never decides who holds a duty.
package cluster

import (
	"slices"
	"sync"
	"time"
)

// Times of the exchange.
const (
	aliveFor   = 2 * time.Second        // a node silent for longer is not given to clients
	silentFor  = 600 * time.Millisecond // a node not heard for longer is silent just now
	countedFor = 10 * time.Second       // a node silent for longer has no share of limits
	forgetFor  = 60 * time.Second       // a node silent for longer is forgotten
	clockFor   = 20 * time.Second       // a clock not compared for longer has no voice
)

// Member is what is known of one node.
type Member struct {
	Record *Record
	Heard  time.Time // when its record last moved on
}

// Members is the known nodes, this one included.
type Members struct {
	mu      sync.Mutex
	self    string
	members map[string]Member
	clocks  map[string]clock
	now     func() time.Time
	direct  map[string]time.Time // when a node's own message came last
	past    map[string]float64   // by customer: admitted in lives of nodes that are over
	sums    sums
	heard   heard                // what the hub told last
	callers map[string]time.Time // addresses for clients, and when a hub told them
}

// clock is how far a node's time of day is from this process's steady clock.
type clock struct {
	offset time.Duration
	at     time.Time
}

// NewMembers returns the members as known to the node self, none yet.
func NewMembers(self string, now func() time.Time) *Members {
	return &Members{
		self: self, members: map[string]Member{}, clocks: map[string]clock{}, now: now,
		direct: map[string]time.Time{}, past: map[string]float64{}, callers: map[string]time.Time{},
	}
}

func newer(a, b *Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Take keeps the record if it is newer than what is known of its node.
func (m *Members) Take(r *Record) bool { return m.TakeAged(r, 0) }

// TakeAged keeps a record that moved on a while ago, as another node tells. A
// node that is forgotten here is not taken for a new one.
func (m *Members) TakeAged(r *Record, age time.Duration) bool {
	if r == nil || r.Node == "" || age >= forgetFor {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.members[r.Node]
	if ok && !newer(r, old.Record) {
		return false
	}
	if ok && r.Incarnation != old.Record.Incarnation && r.Node != m.self {
		m.keepPast(old.Record)
	}
	m.members[r.Node] = Member{r, m.now().Add(-age)}
	return true
}

// TakeDirect keeps the record of the node that sent it itself.
func (m *Members) TakeDirect(r *Record) {
	m.Take(r)
	if name := r.GetNode(); name != "" {
		m.mu.Lock()
		m.direct[name] = m.now()
		m.mu.Unlock()
	}
}

// Direct returns the nodes that exchange with this one.
func (m *Members) Direct() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, at := range m.direct {
		if m.now().Sub(at) > aliveFor {
			delete(m.direct, name)
			continue
		}
		if member, ok := m.members[name]; ok && name != m.self {
			out = append(out, member)
		}
	}
	return out
}

// keepPast adds what a life of a node that is over admitted, so that sums
// over all nodes never fall.
func (m *Members) keepPast(r *Record) {
	for _, t := range r.Admitted {
		m.past[t.Name] += t.Total
	}
}

// Age is how long ago a member's record moved on.
func (m *Members) Age(member Member) time.Duration { return max(m.now().Sub(member.Heard), 0) }

// Known lists the newest records by their sequence.
func (m *Members) Known() []*Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Known, 0, len(m.members))
	for name, member := range m.members {
		out = append(out, &Known{Node: name, Incarnation: member.Record.Incarnation, Sequence: member.Record.Sequence})
	}
	return out
}

// later names the incarnation of a later life, as far as its number says so,
// under which the node of a record is known; nil when there is none.
func (m *Members) later(r *Record) *Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[r.GetNode()]
	if !ok || known.Record.Incarnation <= r.GetIncarnation() {
		return nil
	}
	return &Known{Node: r.GetNode(), Incarnation: known.Record.Incarnation, Sequence: known.Record.Sequence}
}

// Lacking returns up to most members whose records are newer than those known
// to a peer.
func (m *Members) Lacking(known []*Known, peer string, most int) []Member {
	have := make(map[string]*Known, len(known))
	for _, k := range known {
		have[k.Node] = k
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.members {
		if name == m.self || name == peer || len(out) >= most {
			continue
		}
		k := have[name]
		if k == nil || newer(member.Record, &Record{Incarnation: k.Incarnation, Sequence: k.Sequence + relayLag}) {
			out = append(out, member)
		}
	}
	return out
}

// relayLag is how far behind a peer must be before a record is passed on to
// it: nodes that reach each other need no relay.
const relayLag = 2

// Others returns the other nodes heard within the time, sorted by name.
func (m *Members) Others(within time.Duration) []*Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []*Record
	for name, member := range m.members {
		age := now.Sub(member.Heard)
		if age > forgetFor {
			m.keepPast(member.Record)
			delete(m.members, name)
			continue
		}
		if name != m.self && age <= within {
			out = append(out, member.Record)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return out
}

// Alive returns the other nodes that clients may be sent to.
func (m *Members) Alive() []*Record {
	return slices.DeleteFunc(m.Others(aliveFor), func(r *Record) bool { return r.Leaving || !r.Ready })
}

// Count is the number of nodes among which limits are divided, this one included.
func (m *Members) Count() int {
	known := len(m.Others(countedFor)) + 1
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.summary != nil && m.now().Sub(m.heard.at) < countedFor {
		return max(known, int(m.heard.summary.Nodes))
	}
	return known
}

// All returns every known member, this node's own record included.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		out = append(out, member)
	}
	return out
}

// Compare takes in a peer's time of day, read about when at was.
func (m *Members) Compare(node string, wall time.Time, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Round drops the monotonic reading, so that a step of the own clock shows.
	m.clocks[node] = clock{offset: wall.Sub(m.steady(at)), at: at}
}

// steady maps a moment to a time line that no step of the clock moves.
func (m *Members) steady(at time.Time) time.Time { return started.Add(at.Sub(started)).Round(0) }

var started = time.Now()

// Agreed is the time of day on which most nodes agree, for a moment read from
// this process's clock.
func (m *Members) AgreedTime(at time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.summary != nil && m.now().Sub(m.heard.at) < clockFor {
		return m.steady(at).Add(m.heard.agreed)
	}
	offsets := []time.Duration{time.Now().Round(0).Sub(m.steady(time.Now()))}
	for node, c := range m.clocks {
		if node != m.self && at.Sub(c.at) < clockFor {
			offsets = append(offsets, c.offset)
		}
	}
	slices.Sort(offsets)
	return m.steady(at).Add(offsets[len(offsets)/2])
}

// AllHeard tells whether every node that counts was heard just now.
func (m *Members) AllHeard() bool {
	return len(m.Others(countedFor)) == len(m.Others(silentFor))
}
