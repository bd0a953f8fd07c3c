package cluster

import (
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

// confirmedAt returns when the store had no change after m.Complete, zero if the sender has
// never known. The age in a reply counts from when its request was sent. A request has no such
// bound: its receiver may have been suspended before it read it.
func confirmedAt(m *Message, sent time.Time) time.Time {
	if m.ConfirmedAgeMs == nil {
		return time.Time{}
	}
	return sent.Add(-time.Duration(*m.ConfirmedAgeMs) * time.Millisecond)
}

// acceptSummary stores the summary of a hub. confirmed is when the store last confirmed the hub's
// copy of it. A hub that has lost the store and the other hubs while this node has later news is
// avoided; its summary replaces none of a hub that is better connected.
func (n *Node) acceptSummary(hub string, reply *Message, received, confirmed time.Time) {
	age, known := n.View.ConfirmedAge()
	outdated := clock.Since(confirmed) > HubConfirmationMaxAge
	if outdated && known && age < clock.Since(confirmed)-confirmationMargin {
		n.setAvoided(hub)
		if n.Members.HubConfirmedAt().After(confirmed) {
			return
		}
	}
	n.Members.SetSummary(reply.Own, reply.Summary, received, confirmed)
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// recordAge returns the age of a record in m.Others at the time of sending.
func recordAge(m *Message, index int) time.Duration {
	if index >= len(m.AgesMs) {
		return 0
	}
	return time.Duration(m.AgesMs[index]) * time.Millisecond
}
