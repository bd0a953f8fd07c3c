package origin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of what is remembered.
const (
	maxStreams    = 1 << 18          // about 25 MB
	maxLogged     = 1 << 16          // entries that the other nodes may still be told
	sweepInterval = 10 * time.Second // between two searches for expired entries
	maxBatch      = 2048             // streams in one message, of about 20 bytes each
	minExtension  = time.Second      // of the time for which a stream is remembered; times to live are exchanged in seconds
)

// Memory holds the origins of streams that this node or others have begun. What this node
// observes, or relays, is also kept in a log, in which each other node has a position.
type Memory struct {
	now func() time.Time // steady time of this process

	mu      sync.Mutex
	streams map[Key]remembered
	sweptAt time.Time
	logID   uint64 // tells the log of this process from those of earlier ones
	log     []logged
	lastSeq int64               // of the log
	acked   map[string]Position // by address: what a node holds of this node's log
	held    map[string]Position // by address: what this node holds of a node's log
}

type remembered struct {
	origin  Origin
	expires time.Time
}

type logged struct {
	key     Key
	seq     int64
	relayed bool // another node has told of it
}

// Position is a point in the log of a node.
type Position struct {
	LogID   uint64
	Through int64 // sequence number of the last entry that is held
}

// Entry is a stream in a Batch.
type Entry struct {
	Key    Key
	Origin Origin
	TTL    time.Duration // for which it is to be remembered
}

// Batch is a piece of a node's log.
type Batch struct {
	LogID   uint64
	After   int64 // sequence number before the first entry
	Through int64 // sequence number of the last entry
	Entries []Entry
}

// NewMemory returns an empty memory.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{now: now, streams: map[Key]remembered{}, logID: rand.Uint64(), acked: map[string]Position{}, held: map[string]Position{}}
}

// Remember records where a stream began, or that it has gone on, for ttl. Of a stream that is
// known the origin stays.
func (m *Memory) Remember(key Key, o Origin, ttl time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store(key, o, ttl) {
		m.append(key, false)
	}
}

// Own returns the latest streams that this node has begun or taken up and that have not expired,
// at most limit, and a number that changes with each that is added.
func (m *Memory) Own(limit int) (entries []Entry, through int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, seen := m.now(), map[Key]bool{}
	for i := len(m.log) - 1; i >= 0 && len(entries) < limit; i-- {
		item := m.log[i]
		if item.relayed || seen[item.key] {
			continue
		}
		seen[item.key] = true
		through = max(through, item.seq)
		if r := m.streams[item.key]; now.Before(r.expires) {
			entries = append(entries, Entry{item.key, r.origin, r.expires.Sub(now)})
		}
	}
	return entries, through
}

// Restore adds streams that were kept in the store.
func (m *Memory) Restore(entries []Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		m.store(e.Key, e.Origin, e.TTL)
	}
}

// Lookup returns where a stream began.
func (m *Memory) Lookup(key Key) (o Origin, ttl time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.streams[key]
	ttl = r.expires.Sub(m.now())
	if !ok || ttl <= 0 {
		return Origin{}, 0, false
	}
	return r.origin, ttl, true
}

// Count returns the number of streams that are held, expired ones included.
func (m *Memory) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}

// store adds a stream or extends the time for which it is remembered, and reports whether
// anything changed. The caller holds the lock.
func (m *Memory) store(key Key, o Origin, ttl time.Duration) (changed bool) {
	now := m.now()
	expires := now.Add(min(ttl, MaxAge))
	known, ok := m.streams[key]
	if ok && now.Before(known.expires) {
		if expires.Sub(known.expires) < minExtension {
			return false
		}
		o = known.origin
	}
	m.streams[key] = remembered{o, expires}
	m.sweep(now)
	return true
}

// sweep drops expired streams now and then and, beyond maxStreams, others in random order.
func (m *Memory) sweep(now time.Time) {
	if now.Sub(m.sweptAt) > sweepInterval {
		m.sweptAt = now
		for key, r := range m.streams {
			if !now.Before(r.expires) {
				delete(m.streams, key)
			}
		}
	}
	for key := range m.streams {
		if len(m.streams) <= maxStreams {
			return
		}
		delete(m.streams, key)
	}
}

// append adds a stream to the log. The caller holds the lock.
func (m *Memory) append(key Key, relayed bool) {
	m.lastSeq++
	m.log = append(m.log, logged{key, m.lastSeq, relayed})
	first := max(len(m.log)-maxLogged, 0)
	now := m.now()
	for first < len(m.log) && !now.Before(m.streams[m.log[first].key].expires) {
		first++
	}
	m.log = m.log[first:]
}
