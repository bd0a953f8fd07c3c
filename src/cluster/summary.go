package cluster

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// Limits of summaries.
const (
	HeardTimeout       = 1200 * time.Millisecond // age up to which a record counts as heard lately (Summary.heard)
	LoadMaxAge         = 3 * time.Second         // age up to which a node's loads and demands are used
	summaryTTL         = 3 * time.Second         // age up to which a received summary is used
	aggregatesTTL      = 50 * time.Millisecond   // age up to which aggregates are reused for further summaries
	maxHeavyServers    = 64                      // servers listed individually
	maxClientAddresses = 32                      // in one summary
	clientAddressTTL   = 3 * time.Second         // age up to which an address from a summary is used
	maxSuspects        = 12                      // with crashes, in one summary
	maxCleared         = 64                      // suspects without crashes since they completed, in one summary
	maxLimits          = 32                      // in one summary
	maxInterruptions   = 12                      // in one summary
	maxShortages       = 16                      // in one summary
)

// aggregates are totals over the records of all members, shared by summaries.
type aggregates struct {
	at       time.Time
	records  map[string]*Record // by node, those heard from within countedTimeout
	heard    int                // nodes heard from within HeardTimeout, and those that have left
	admitted map[string]float64 // by customer, including earlier incarnations
	heavy    []serverLoad       // servers with the most pending prefill, then the most requests
	// Means over the servers that are not in heavy.
	meanRequests, meanPendingPrefill float32
	clientAddresses                  []string
	suspects                         []*Suspect // those with the most crashes
	limits                           []*ServerLimit
	brittle                          []*BrittleServer
	interruptions                    []*Interruption
	shortages                        []*Shortage
}

// serverLoad is the load that all nodes together place on a server.
type serverLoad struct {
	server         string
	requests       int32
	pendingPrefill int64 // prompt tokens not known to be processed (Load.unread_tokens)
}

// hubSummary is a summary received from a hub.
type hubSummary struct {
	summary *Summary
	hub     string // its name and incarnation
	at      time.Time
	agreed  time.Duration // the hub's agreed time minus this node's steady time
	// confirmedAt is when the store last confirmed the hub's copy of it; zero if it never did.
	confirmedAt time.Time
}

// Summary returns the last summary received from a hub, the name and incarnation of
// the hub, and when it was received. ok is false if it is older than summaryTTL.
func (m *Members) Summary() (summary *Summary, hub string, at time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hubSummary
	return h.summary, h.hub, h.at, h.summary != nil && m.now().Sub(h.at) < summaryTTL
}

// HubConfirmedAt returns when the store last confirmed the copy of the hub that has sent the last
// summary; zero if it never did, or if there is no summary within summaryTTL.
func (m *Members) HubConfirmedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubSummary.summary == nil || m.now().Sub(m.hubSummary.at) >= summaryTTL {
		return time.Time{}
	}
	return m.hubSummary.confirmedAt
}

// SetSummary stores a summary that a hub sent at the local time at. The store last confirmed the
// hub's copy of it at confirmedAt.
func (m *Members) SetSummary(hubRecord *Record, s *Summary, at, confirmedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A restarted hub has lost its totals, so its sums are not comparable with earlier
	// ones.
	hub := fmt.Sprintf("%s/%d", hubRecord.GetNode(), hubRecord.GetIncarnation())
	m.hubSummary = hubSummary{s, hub, m.now(), time.UnixMicro(s.AgreedUs).Sub(m.steadyTime(at)), confirmedAt}
	for _, address := range s.Callers {
		m.clientAddresses[address] = m.now()
	}
	for address, receivedAt := range m.clientAddresses {
		if m.now().Sub(receivedAt) > clientAddressTTL {
			delete(m.clientAddresses, address)
		}
	}
}

// ClientAddresses returns up to limit addresses of other nodes that clients may be
// sent to.
func (m *Members) ClientAddresses(limit int) []string {
	var out []string
	for _, r := range m.Alive() {
		out = append(out, r.Callers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, receivedAt := range m.clientAddresses {
		if m.now().Sub(receivedAt) <= clientAddressTTL && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), limit)]
}

// Summarize returns the summary for the node requester: totals over all nodes, less
// its own part.
func (m *Members) Summarize(requester string, now time.Time) *Summary {
	agreed := m.AgreedTime(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.aggregates.records == nil || m.now().Sub(m.aggregates.at) > aggregatesTTL {
		m.aggregates = m.sum()
	}
	out := &Summary{Nodes: int32(len(m.aggregates.records)), Heard: int32(m.aggregates.heard), AgreedUs: agreed.UnixMicro()}
	own := m.aggregates.records[requester]
	admitted := map[string]float64{}
	for _, t := range own.GetAdmitted() {
		admitted[t.Name] = t.Total
	}
	hub := map[string]*Tally{} // what this hub itself reports
	for _, t := range m.aggregates.records[m.self].GetAdmitted() {
		hub[t.Name] = t
	}
	for customer, total := range m.aggregates.admitted {
		tally := &Tally{Name: customer, Total: total - admitted[customer]}
		if t := hub[customer]; t != nil {
			tally.Level, tally.Recent = t.Level, t.Recent
		}
		out.Admitted = append(out.Admitted, tally)
	}
	out.Heavy = subtractOwn(m.aggregates.heavy, own.GetLoads())
	out.Suspects, out.Limits, out.Interruptions = m.aggregates.suspects, m.aggregates.limits, m.aggregates.interruptions
	out.Brittle, out.Shortages = m.aggregates.brittle, m.aggregates.shortages
	out.MeanRequests, out.MeanUnread = m.aggregates.meanRequests, m.aggregates.meanPendingPrefill
	for range min(maxClientAddresses, len(m.aggregates.clientAddresses)) {
		out.Callers = append(out.Callers, m.aggregates.clientAddresses[rand.IntN(len(m.aggregates.clientAddresses))])
	}
	return out
}

// sum aggregates the records of all members.
func (m *Members) sum() aggregates {
	now := m.now()
	out := aggregates{at: now, records: map[string]*Record{}, admitted: map[string]float64{}}
	loads := map[string]serverLoad{}
	for customer, total := range m.pastAdmitted {
		out.admitted[customer] = total
	}
	for name, member := range m.members {
		r, age := member.Record, now.Sub(member.Heard)
		for _, t := range r.Admitted {
			out.admitted[t.Name] += t.Total
		}
		if age > countedTimeout {
			continue
		}
		out.records[name] = r
		out.suspects = append(out.suspects, r.Suspects...)
		out.limits = append(out.limits, r.Limits...)
		out.brittle = append(out.brittle, r.Brittle...)
		if age <= HeardTimeout || r.Leaving {
			out.heard++
		}
		if age <= AliveTimeout {
			out.interruptions = append(out.interruptions, r.Interruptions...)
			out.shortages = addShortages(out.shortages, r.Shortages)
			if r.Ready && !r.Leaving {
				out.clientAddresses = append(out.clientAddresses, r.Callers)
			}
		}
		if age > LoadMaxAge {
			continue
		}
		for _, load := range r.Loads {
			sum := loads[load.Server]
			sum.requests += load.Requests
			sum.pendingPrefill += load.UnreadTokens
			loads[load.Server] = sum
		}
	}
	out.heavy, out.meanRequests, out.meanPendingPrefill = heaviest(loads)
	out.suspects = mostCrashes(out.suspects)
	out.limits = latestLimits(out.limits)
	out.brittle = latestBrittle(out.brittle)
	out.interruptions = latestInterruptions(out.interruptions)
	return out
}

// mostCrashes combines the reports about each suspect, without crashes before it completed, and
// returns the at most maxSuspects with the most crashes, and at most maxCleared without any.
func mostCrashes(list []*Suspect) []*Suspect {
	byDigest := map[string]*Suspect{}
	for _, s := range list {
		known := byDigest[string(s.Digest)]
		if known == nil {
			known = &Suspect{Digest: s.Digest, Part: s.Part}
			byDigest[string(s.Digest)] = known
		}
		known.ClearedThroughMs = max(known.ClearedThroughMs, s.ClearedThroughMs)
		for _, c := range s.Crashes {
			if !slices.ContainsFunc(known.Crashes, func(o *Crash) bool { return proto.Equal(o, c) }) {
				known.Crashes = append(known.Crashes, c)
			}
		}
	}
	var crashed, cleared []*Suspect
	for _, s := range byDigest {
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c *Crash) bool { return endedMs(c) <= s.ClearedThroughMs })
		if len(s.Crashes) > 0 {
			crashed = append(crashed, s)
		} else {
			cleared = append(cleared, s)
		}
	}
	slices.SortFunc(cleared, func(a, b *Suspect) int { return cmp.Compare(b.ClearedThroughMs, a.ClearedThroughMs) })
	cleared = cleared[:min(len(cleared), maxCleared)]
	for _, list := range [][]*Suspect{crashed, cleared} {
		slices.SortFunc(list, func(a, b *Suspect) int {
			return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), bytes.Compare(a.Digest, b.Digest))
		})
	}
	return slices.Concat(crashed[:min(len(crashed), maxSuspects)], cleared)
}

// endedMs returns when the run ended that a crash ended, Unix ms.
func endedMs(c *Crash) int64 {
	if c.EndedMs != 0 {
		return c.EndedMs
	}
	return c.AtMs
}

// statement is what a run of a server has said.
type statement interface {
	GetServer() string
	GetStartedMs() int64
	GetAtUs() int64
}

// latestOfRuns returns the latest statement of each run of a server.
func latestOfRuns[S statement](list []S) []S {
	latest := map[string]S{}
	for _, s := range list {
		key := fmt.Sprint(s.GetServer(), "/", s.GetStartedMs())
		if known, ok := latest[key]; !ok || s.GetAtUs() > known.GetAtUs() {
			latest[key] = s
		}
	}
	return slices.Collect(maps.Values(latest))
}

// compareAge orders statements by age, the latest first.
func compareAge[S statement](a, b S) int {
	return cmp.Or(cmp.Compare(b.GetAtUs(), a.GetAtUs()), cmp.Compare(a.GetServer(), b.GetServer()))
}

// latestLimits returns the latest report about each server, at most maxLimits, those
// that name a limit first.
func latestLimits(list []*ServerLimit) []*ServerLimit {
	out := latestOfRuns(list)
	slices.SortFunc(out, func(a, b *ServerLimit) int {
		switch {
		case a.Limited && !b.Limited:
			return -1
		case b.Limited && !a.Limited:
			return 1
		}
		return compareAge(a, b)
	})
	return out[:min(len(out), maxLimits)]
}

// latestBrittle returns the latest news of each server, at most maxLimits.
func latestBrittle(list []*BrittleServer) []*BrittleServer {
	out := latestOfRuns(list)
	slices.SortFunc(out, compareAge)
	return out[:min(len(out), maxLimits)]
}

// latestInterruptions returns at most maxInterruptions, those that ended last first.
func latestInterruptions(list []*Interruption) []*Interruption {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b *Interruption) int {
		return cmp.Or(cmp.Compare(b.EndedMs, a.EndedMs), bytes.Compare(a.Digest, b.Digest), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxInterruptions)]
}

// addShortages adds those that are missing, up to maxShortages in all.
func addShortages(list, more []*Shortage) []*Shortage {
	for _, s := range more {
		known := slices.ContainsFunc(list, func(o *Shortage) bool { return proto.Equal(o, s) })
		if !known && len(list) < maxShortages {
			list = append(list, s)
		}
	}
	return list
}

// heaviest returns the servers with the most pending prefill, then the most requests,
// and the means over the remaining ones.
func heaviest(loads map[string]serverLoad) (heavy []serverLoad, requests, pendingPrefill float32) {
	all := make([]serverLoad, 0, len(loads))
	for id, load := range loads {
		load.server = id
		all = append(all, load)
	}
	slices.SortFunc(all, func(a, b serverLoad) int {
		return cmp.Or(cmp.Compare(b.pendingPrefill, a.pendingPrefill), cmp.Compare(b.requests, a.requests), cmp.Compare(a.server, b.server))
	})
	heavy = all[:min(len(all), maxHeavyServers)]
	rest := all[len(heavy):]
	for _, load := range rest {
		requests += float32(load.requests) / float32(len(rest))
		pendingPrefill += float32(load.pendingPrefill) / float32(len(rest))
	}
	return heavy, requests, pendingPrefill
}

// subtractOwn returns the loads less the part that the requesting node placed.
func subtractOwn(heavy []serverLoad, own []*Load) []*Load {
	ownLoads := make(map[string]*Load, len(own))
	for _, load := range own {
		ownLoads[load.Server] = load
	}
	out := make([]*Load, 0, len(heavy))
	for _, load := range heavy {
		out = append(out, &Load{
			Server:       load.server,
			Requests:     max(load.requests-ownLoads[load.server].GetRequests(), 0),
			UnreadTokens: max(load.pendingPrefill-ownLoads[load.server].GetUnreadTokens(), 0),
		})
	}
	return out
}
