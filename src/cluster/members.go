// Package cluster distributes each gateway node's record, and changes of the store,
// among the nodes: directly, or relayed by others for nodes that cannot reach each
// other. The records are used to balance load and to enforce limits over all nodes.
// Which node reports usage and orders servers is decided by a lease in the store,
// never by the records (see package duty).
package cluster

import (
	"slices"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

// Limits on the time since a node was last heard from.
const (
	AliveTimeout   = 2 * time.Second        // clients are sent to the node, and Direct includes it, until then
	silenceTimeout = 600 * time.Millisecond // the node is silent after that
	countedTimeout = 10 * time.Second       // Count, AllHeard and summaries include the node until then
	forgetTimeout  = 60 * time.Second       // the node's record is dropped after that
	clockSampleTTL = 20 * time.Second       // AgreedTime uses the node's clock until then
)

const maxForgotten = 4096 // nodes that are forgotten, but whose admissions are known by node

// Member is a known node.
type Member struct {
	Record *Record
	Heard  time.Time // when its record was last replaced by a newer one
}

// Members holds the known nodes, including this one.
type Members struct {
	mu              sync.Mutex
	self            string
	members         map[string]Member
	clocks          map[string]clockSample
	now             func() time.Time
	direct          map[string]time.Time // last message received from the node itself
	pastAdmitted    map[string]float64   // by customer: cost admitted in earlier incarnations and by forgotten nodes
	forgotten       map[string]*Record   // by node: the part of a dropped record that is in pastAdmitted
	aggregates      aggregates
	hubSummary      hubSummary           // last summary received from a hub
	clientAddresses map[string]time.Time // addresses for clients and when a hub last sent them
}

// clockSample is a sample of a node's clock.
type clockSample struct {
	offset time.Duration // from this process's steady time
	at     time.Time
}

// NewMembers returns the members known to the node self, initially none.
func NewMembers(self string, now func() time.Time) *Members {
	return &Members{
		self: self, members: map[string]Member{}, clocks: map[string]clockSample{}, now: now,
		direct: map[string]time.Time{}, pastAdmitted: map[string]float64{}, forgotten: map[string]*Record{}, clientAddresses: map[string]time.Time{},
	}
}

func newer(a, b *Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Merge stores a record if it is newer than the known one of its node, and reports
// whether it did.
func (m *Members) Merge(r *Record) bool { return m.MergeAged(r, 0) }

// MergeAged is Merge for a relayed record that was last replaced by a newer one the
// given time ago. Records older than forgetTimeout are ignored, so that forgotten
// nodes do not reappear.
func (m *Members) MergeAged(r *Record, age time.Duration) bool {
	if r == nil || r.Node == "" || age >= forgetTimeout {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.members[r.Node]
	if ok && !newer(r, old.Record) {
		return false
	}
	if ok && r.Incarnation != old.Record.Incarnation && r.Node != m.self {
		m.addPastAdmitted(old.Record)
	}
	if !ok {
		m.recall(r)
	}
	m.members[r.Node] = Member{r, m.now().Add(-age)}
	return true
}

// MergeDirect merges a record received from the node itself.
func (m *Members) MergeDirect(r *Record) {
	m.Merge(r)
	if name := r.GetNode(); name != "" {
		m.mu.Lock()
		m.direct[name] = m.now()
		m.mu.Unlock()
	}
}

// Direct returns the nodes that this node recently received messages from.
func (m *Members) Direct() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, at := range m.direct {
		if m.now().Sub(at) > AliveTimeout {
			delete(m.direct, name)
			continue
		}
		if member, ok := m.members[name]; ok && name != m.self {
			out = append(out, member)
		}
	}
	return out
}

// addPastAdmitted keeps the totals of a record that is dropped, so that the sums
// over all nodes never decrease.
func (m *Members) addPastAdmitted(r *Record) {
	for _, t := range r.Admitted {
		m.pastAdmitted[t.Name] += t.Total
	}
}

// forget drops a member whose record is too old. Its admissions stay in the sums.
func (m *Members) forget(r *Record) {
	m.addPastAdmitted(r)
	delete(m.members, r.Node)
	m.forgotten[r.Node] = &Record{Node: r.Node, Incarnation: r.Incarnation, Admitted: r.Admitted}
	for node := range m.forgotten {
		if len(m.forgotten) <= maxForgotten {
			return
		}
		delete(m.forgotten, node)
	}
}

// recall takes the admissions of a forgotten node out of the sums again if the node is back in
// the same incarnation, whose record contains them.
func (m *Members) recall(r *Record) {
	known := m.forgotten[r.Node]
	if known == nil {
		return
	}
	delete(m.forgotten, r.Node)
	if known.Incarnation != r.Incarnation {
		return
	}
	for _, t := range known.Admitted {
		m.pastAdmitted[t.Name] -= t.Total
	}
}

// Age returns the time since a member's record was last replaced by a newer one.
func (m *Members) Age(member Member) time.Duration { return max(m.now().Sub(member.Heard), 0) }

// Known returns the incarnation and sequence number of each known record.
func (m *Members) Known() []*Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Known, 0, len(m.members))
	for name, member := range m.members {
		out = append(out, &Known{Node: name, Incarnation: member.Record.Incarnation, Sequence: member.Record.Sequence})
	}
	return out
}

// laterIncarnation returns the known incarnation and sequence number of the
// record's node if that incarnation is higher than the record's, or nil.
func (m *Members) laterIncarnation(r *Record) *Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[r.GetNode()]
	if !ok || known.Record.Incarnation <= r.GetIncarnation() {
		return nil
	}
	return &Known{Node: r.GetNode(), Incarnation: known.Record.Incarnation, Sequence: known.Record.Sequence}
}

// Lacking returns up to limit members whose records are missing from known, the
// records that peer has, or lag there by more than relayLagThreshold updates.
func (m *Members) Lacking(known []*Known, peer string, limit int) []Member {
	have := make(map[string]*Known, len(known))
	for _, k := range known {
		have[k.Node] = k
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for name, member := range m.members {
		if name == m.self || name == peer || len(out) >= limit {
			continue
		}
		k := have[name]
		if k == nil || newer(member.Record, &Record{Incarnation: k.Incarnation, Sequence: k.Sequence + relayLagThreshold}) {
			out = append(out, member)
		}
	}
	return out
}

// relayLagThreshold is the number of updates by which a peer may lag behind before
// a record is relayed to it. Nodes that reach each other need no relay.
const relayLagThreshold = 2

// Others returns the records of the other nodes heard from within maxAge,
// sorted by name. It drops the nodes that have exceeded forgetTimeout.
func (m *Members) Others(maxAge time.Duration) []*Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []*Record
	for name, member := range m.members {
		age := now.Sub(member.Heard)
		if age > forgetTimeout {
			m.forget(member.Record)
			continue
		}
		if name != m.self && age <= maxAge {
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

// Alive returns the records of the other nodes that clients may be sent to.
func (m *Members) Alive() []*Record {
	return slices.DeleteFunc(m.Others(AliveTimeout), func(r *Record) bool { return r.Leaving || !r.Ready })
}

// Count returns the number of nodes, including this one, heard from within
// countedTimeout, or the number in a hub's recent summary if that is higher. Limits
// are divided by Roster.Count instead.
func (m *Members) Count() int {
	known := len(m.Others(countedTimeout)) + 1
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubSummary.summary != nil && m.now().Sub(m.hubSummary.at) < countedTimeout {
		return max(known, int(m.hubSummary.summary.Nodes))
	}
	return known
}

// All returns all known members, including this node.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		out = append(out, member)
	}
	return out
}

// RecordClock records a peer's wall clock as read at local time at.
func (m *Members) RecordClock(node string, wall time.Time, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clocks[node] = clockSample{offset: wall.Sub(m.steadyTime(at)), at: at}
}

// steadyTime converts a local time to a wall clock that is not affected by steps of
// the system clock after process start.
func (m *Members) steadyTime(at time.Time) time.Time {
	return processStart.Add(at.Sub(processStart)).Round(0)
}

var processStart = clock.Now()

// AgreedTime converts a local time to the median of the nodes' wall clocks.
func (m *Members) AgreedTime(at time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubSummary.summary != nil && m.now().Sub(m.hubSummary.at) < clockSampleTTL {
		return m.steadyTime(at).Add(m.hubSummary.agreed)
	}
	// Round drops the monotonic reading, so that a step of the own clock shows.
	offsets := []time.Duration{time.Now().Round(0).Sub(m.steadyTime(clock.Now()))}
	for node, c := range m.clocks {
		if node != m.self && at.Sub(c.at) < clockSampleTTL {
			offsets = append(offsets, c.offset)
		}
	}
	slices.Sort(offsets)
	return m.steadyTime(at).Add(offsets[len(offsets)/2])
}

// AllHeard reports whether every node heard from within countedTimeout was also
// heard from within silenceTimeout.
func (m *Members) AllHeard() bool {
	return len(m.Others(countedTimeout)) == len(m.Others(silenceTimeout))
}
