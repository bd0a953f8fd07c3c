package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// debugState writes the state of the node as JSON.
func (n *Node) debugState(w http.ResponseWriter, _ *http.Request) {
	complete, source := n.view.Complete()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"node": n.initial.Node, "version": n.version(), "revision": complete, "source": source, "open": n.openRequests.Load(),
		"stopping": n.stopping(), "members": n.members.All(), "loads": fmt.Sprint(n.upstreams.localLoads()),
		"excluded_servers": n.upstreams.excludedServers(),
	})
}

// excludedServer describes, for diagnostics, why a server gets no requests.
type excludedServer struct {
	ID         string `json:"id"`
	StartedMS  int64  `json:"started_ms"`
	Draining   bool   `json:"draining"`
	Leaving    bool   `json:"leaving"`     // it says so in its responses
	RestMS     int64  `json:"rest_ms"`     // left of its rest
	EjectedMS  int64  `json:"ejected_ms"`  // left of its ejection
	BackoffMS  int64  `json:"backoff_ms"`  // left of the backoff after a rejection
	Unreached  bool   `json:"unreached"`   // this node cannot connect to it
	UnlistedMS int64  `json:"unlisted_ms"` // since its entry has gone; 0 while it is listed
}

// excludedServers returns the servers that get no requests, or only if there are no others.
func (p *upstreamPool) excludedServers() []excludedServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	left := func(until time.Time) int64 { return max(until.Sub(now), 0).Milliseconds() }
	out := []excludedServer{}
	for _, servers := range []map[string]*upstream{p.byID, p.unlisted} {
		for _, s := range servers {
			e := excludedServer{ID: s.id, StartedMS: s.startedMS, Draining: s.draining, Leaving: s.leaving,
				RestMS: left(s.restUntil), EjectedMS: left(s.ejectedUntil), BackoffMS: left(s.backoffUntil), Unreached: s.unreachable}
			if !s.unlistedAt.IsZero() {
				e.UnlistedMS = now.Sub(s.unlistedAt).Milliseconds()
			}
			if e.Draining || e.RestMS > 0 || e.EjectedMS > 0 || e.BackoffMS > 0 || e.Unreached {
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, func(a, b excludedServer) int { return strings.Compare(a.ID, b.ID) })
	return out
}
