package origin

import "sort"

// Unsent returns the entries that the node at an address is not known to hold, the oldest first
// and at most maxBatch. It returns nothing until the node has said what it holds.
func (m *Memory) Unsent(address string) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	acked, ok := m.acked[address]
	if !ok {
		return Batch{}
	}
	out := Batch{LogID: m.logID}
	if acked.LogID == m.logID {
		out.After = acked.Through
	}
	out.Through = out.After
	now := m.now()
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].seq > out.After })
	for _, item := range m.log[first:] {
		if len(out.Entries) == maxBatch {
			break
		}
		out.Through = item.seq
		if r := m.streams[item.key]; now.Before(r.expires) {
			out.Entries = append(out.Entries, Entry{item.key, r.origin, r.expires.Sub(now)})
		}
	}
	return out
}

// Acknowledge records what the node at an address holds of this node's log.
func (m *Memory) Acknowledge(address string, p Position) {
	m.mu.Lock()
	m.acked[address] = p
	m.mu.Unlock()
}

// Held returns what this node holds of the log of the node at an address.
func (m *Memory) Held(address string) Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[address]
}

// Merge adds a batch of the node at an address. relay adds it to the log of this node as well.
func (m *Memory) Merge(address string, b Batch, relay bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range b.Entries {
		if m.store(e.Key, e.Origin, e.TTL) && relay {
			m.append(e.Key, true)
		}
	}
	held := m.held[address]
	if held.LogID != b.LogID {
		held = Position{LogID: b.LogID}
	}
	if b.After <= held.Through {
		held.Through = max(held.Through, b.Through)
	}
	m.held[address] = held
}

// Forget drops the positions of nodes at other than the given addresses.
func (m *Memory) Forget(present func(address string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, positions := range []map[string]Position{m.acked, m.held} {
		for address := range positions {
			if !present(address) {
				delete(positions, address)
			}
		}
	}
}
