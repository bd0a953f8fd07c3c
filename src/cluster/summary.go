package cluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of summaries.
const (
	LoadMaxAge   = 3 * time.Second       // for which a node's loads and demands count
	summaryFor   = 3 * time.Second       // for which a summary counts
	sumsFor      = 50 * time.Millisecond // for which sums serve several summaries
	heavyMost    = 64                    // servers told one by one
	callersTold  = 32                    // addresses in one summary
	callersFresh = 3 * time.Second
)

// sums are totals over the records of all members, made for many summaries.
type sums struct {
	at       time.Time
	records  map[string]*Record // that were summed up, by node
	admitted map[string]float64 // by customer, past lives included
	heavy    []serverLoad       // servers with the most tokens to read and requests
	// Means of the servers that are not among the heavy ones.
	meanRequests, meanUnread float32
	callers                  []string
}

// serverLoad is what nodes together have at a server.
type serverLoad struct {
	server   string
	requests int32
	unread   int64 // prompt tokens
}

// heard is a summary as it came from a hub.
type heard struct {
	summary *Summary
	hub     string
	at      time.Time
	agreed  time.Duration // of the hub's agreed time from the own steady time line
}

// Summary returns what the hub told last, and which life of which hub; ok is false when that
// is too long ago.
func (m *Members) Summary() (summary *Summary, hub string, at time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.heard
	return h.summary, h.hub, h.at, h.summary != nil && m.now().Sub(h.at) < summaryFor
}

// TakeSummary keeps what a hub told at a moment.
func (m *Members) TakeSummary(from *Record, s *Summary, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A hub that began anew knows nothing of before: its sums are others.
	hub := fmt.Sprintf("%s/%d", from.GetNode(), from.GetIncarnation())
	m.heard = heard{s, hub, m.now(), time.UnixMicro(s.AgreedUs).Sub(m.steady(at))}
	for _, address := range s.Callers {
		m.callers[address] = m.now()
	}
	for address, told := range m.callers {
		if m.now().Sub(told) > callersFresh {
			delete(m.callers, address)
		}
	}
}

// Callers returns up to most addresses of other nodes that clients may be sent to.
func (m *Members) Callers(most int) []string {
	var out []string
	for _, r := range m.Alive() {
		out = append(out, r.Callers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, told := range m.callers {
		if m.now().Sub(told) <= callersFresh && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), most)]
}

// Summarize makes the summary for a node that asks its hub.
func (m *Members) Summarize(asker string, now time.Time) *Summary {
	agreed := m.AgreedTime(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sums.records == nil || m.now().Sub(m.sums.at) > sumsFor {
		m.sums = m.sum()
	}
	out := &Summary{Nodes: int32(len(m.sums.records)), AgreedUs: agreed.UnixMicro()}
	own := m.sums.records[asker]
	admitted := map[string]float64{}
	for _, t := range own.GetAdmitted() {
		admitted[t.Name] = t.Total
	}
	for customer, total := range m.sums.admitted {
		out.Admitted = append(out.Admitted, &Tally{Name: customer, Total: total - admitted[customer]})
	}
	out.Heavy = without(m.sums.heavy, own.GetLoads())
	out.MeanRequests, out.MeanUnread = m.sums.meanRequests, m.sums.meanUnread
	for range min(callersTold, len(m.sums.callers)) {
		out.Callers = append(out.Callers, m.sums.callers[rand.IntN(len(m.sums.callers))])
	}
	return out
}

// sum adds up the records of all members.
func (m *Members) sum() sums {
	now := m.now()
	out := sums{at: now, records: map[string]*Record{}, admitted: map[string]float64{}}
	loads := map[string]serverLoad{}
	for customer, total := range m.past {
		out.admitted[customer] = total
	}
	for name, member := range m.members {
		r, age := member.Record, now.Sub(member.Heard)
		for _, t := range r.Admitted {
			out.admitted[t.Name] += t.Total
		}
		if age > countedFor {
			continue
		}
		out.records[name] = r
		if age <= aliveFor && r.Ready && !r.Leaving {
			out.callers = append(out.callers, r.Callers)
		}
		if age > LoadMaxAge {
			continue
		}
		for _, load := range r.Loads {
			sum := loads[load.Server]
			sum.requests += load.Requests
			sum.unread += load.UnreadTokens
			loads[load.Server] = sum
		}
	}
	out.heavy, out.meanRequests, out.meanUnread = heaviest(loads)
	return out
}

// heaviest returns the servers with the most tokens to read and requests, and
// the mean of the others that have any.
func heaviest(loads map[string]serverLoad) (heavy []serverLoad, requests, unread float32) {
	all := make([]serverLoad, 0, len(loads))
	for id, load := range loads {
		load.server = id
		all = append(all, load)
	}
	slices.SortFunc(all, func(a, b serverLoad) int {
		return cmp.Or(cmp.Compare(b.unread, a.unread), cmp.Compare(b.requests, a.requests), cmp.Compare(a.server, b.server))
	})
	heavy = all[:min(len(all), heavyMost)]
	rest := all[len(heavy):]
	for _, load := range rest {
		requests += float32(load.requests) / float32(len(rest))
		unread += float32(load.unread) / float32(len(rest))
	}
	return heavy, requests, unread
}

// without returns the loads without a node's own part of them.
func without(heavy []serverLoad, own []*Load) []*Load {
	mine := make(map[string]*Load, len(own))
	for _, load := range own {
		mine[load.Server] = load
	}
	out := make([]*Load, 0, len(heavy))
	for _, load := range heavy {
		out = append(out, &Load{
			Server:       load.server,
			Requests:     max(load.requests-mine[load.server].GetRequests(), 0),
			UnreadTokens: max(load.unread-mine[load.server].GetUnreadTokens(), 0),
		})
	}
	return out
}
