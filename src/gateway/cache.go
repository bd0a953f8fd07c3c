package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of what is believed of engines' memory.
const (
	believeFor  = 30 * time.Second // after its last use a part may have given way
	beliefsMost = 50000            // beliefs kept; the rest are dropped at random
)

// beliefs is what this node believes the engines keep in memory, from the
// prompts that it saw them read.
type beliefs struct {
	mu   sync.Mutex
	kept map[belief]time.Time
	now  func() time.Time
}

type belief struct{ server, part string }

func newBeliefs(now func() time.Time) *beliefs {
	return &beliefs{kept: map[belief]time.Time{}, now: now}
}

// read notes that an engine has read a prompt.
func (b *beliefs) read(server string, parts []part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range parts {
		b.kept[belief{server, p.id}] = now
	}
	for key, at := range b.kept {
		if len(b.kept) <= beliefsMost {
			break
		}
		if now.Sub(at) > believeFor || len(b.kept) > beliefsMost {
			delete(b.kept, key)
		}
	}
}

// forget drops what is believed of servers whose life is over.
func (b *beliefs) forget(servers []string) {
	if len(servers) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.kept, func(key belief, _ time.Time) bool { return slices.Contains(servers, key.server) })
}

// holds tells whether an engine is believed to keep a part.
func (b *beliefs) holds(server, part string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.kept[belief{server, part}]
	return ok && b.now().Sub(at) < believeFor
}
