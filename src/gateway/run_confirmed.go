package gateway

import "time"

// entryDelay is the time in which a server that has started writes its entry.
const entryDelay = time.Second

// runConfirmed reports whether a server is known to be the run that its entry names: one that
// could not be connected to, or any while this node was suspended, may have started again at
// another version until the list of servers has been confirmed. The caller holds the lock.
func (p *upstreamPool) runConfirmed(s *upstream) bool {
	p.pollStopLocked()
	since := s.reachableAgainAt
	if p.resumedAt.After(since) {
		since = p.resumedAt
	}
	return since.IsZero() || p.confirmedAt().After(since.Add(entryDelay))
}

// recordResume records that this node was suspended, or its process stopped, until now.
func (p *upstreamPool) recordResume() {
	p.mu.Lock()
	p.resumedAt = p.now()
	p.mu.Unlock()
}

// Detection of stops of this process, which the system's clocks do not show.
const (
	stopPollInterval = 100 * time.Millisecond
	minStop          = 500 * time.Millisecond // longest pause between two polls that is not taken for a stop
)

// pollStop must be called each stopPollInterval, and before runConfirmed is relied on: whichever
// comes first after a stop of the process finds out that there was one.
func (p *upstreamPool) pollStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pollStopLocked()
}

func (p *upstreamPool) pollStopLocked() {
	now := p.now()
	if !p.polledAt.IsZero() && now.Sub(p.polledAt) > minStop {
		p.resumedAt = now
	}
	p.polledAt = now
}
