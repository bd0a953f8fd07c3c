package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	cacheEntryTTL   = 30 * time.Second // engines may evict a prompt part this long after its last use
	maxCacheEntries = 50000            // entries beyond this are evicted in random order
)

// cacheTracker estimates which prompt parts each engine holds in its prefix
// cache, based on the prompts that this node has seen it process.
type cacheTracker struct {
	mu       sync.Mutex
	lastUsed map[cacheKey]time.Time
	now      func() time.Time
}

type cacheKey struct{ server, part string }

func newCacheTracker(now func() time.Time) *cacheTracker {
	return &cacheTracker{lastUsed: map[cacheKey]time.Time{}, now: now}
}

// record notes that an engine has processed the given prompt parts.
func (c *cacheTracker) record(server string, parts []promptPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, p := range parts {
		c.lastUsed[cacheKey{server, p.id}] = now
	}
	for key, at := range c.lastUsed {
		if len(c.lastUsed) <= maxCacheEntries {
			break
		}
		if now.Sub(at) > cacheEntryTTL || len(c.lastUsed) > maxCacheEntries {
			delete(c.lastUsed, key)
		}
	}
}

// removeServers drops all entries of servers that have stopped or restarted.
func (c *cacheTracker) removeServers(servers []string) {
	if len(servers) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.lastUsed, func(key cacheKey, _ time.Time) bool { return slices.Contains(servers, key.server) })
}

// mayHold reports whether a server is likely to have a prompt part cached.
func (c *cacheTracker) mayHold(server, part string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.lastUsed[cacheKey{server, part}]
	return ok && c.now().Sub(at) < cacheEntryTTL
}
