package admit

import "time"

// SilentPeers are peers that a source of aggregated totals has not heard from.
type SilentPeers struct {
	Count int
	For   time.Duration // at least
}

// chargeSilent charges the even shares of silent peers for the last elapsed seconds. Peers that
// have just become silent are also charged for the time since their last report, and for an even
// part of the bucket, as each of the nodes that have lost each other may use what is in it.
func (l *SharedLimiter) chargeSilent(customer string, bucket *sharedBucket, elapsed float64, now time.Time) {
	part := max(min(bucket.level, bucket.depth), 0) / float64(l.nodes)
	for _, peer := range l.peers {
		silent, since := l.silentPeers(peer, now)
		if silent == 0 {
			continue
		}
		charge := l.evenShare(bucket) * elapsed
		if _, charged := peer.estimated[customer]; !charged && !peer.MadeAt.IsZero() {
			charge = l.evenShare(bucket)*max(elapsed, min(since, maxRefillInterval).Seconds()) + part
		}
		peer.charged = silent
		peer.estimated[customer] += float64(silent) * charge
		bucket.level -= float64(silent) * charge
	}
}

// silentPeers returns for how many peers a report stands that have fallen silent, and for how long
// they have been at least.
func (l *SharedLimiter) silentPeers(peer *peerTotals, now time.Time) (count int, since time.Duration) {
	since = now.Sub(peer.MadeAt)
	switch {
	case !l.aggregated && since > peerTimeout:
		return 1, since
	case l.aggregated && since > aggregateTimeout:
		return l.nodes - 1, since
	case l.aggregated && l.silent.Count > 0:
		return l.silent.Count, l.silent.For
	}
	return 0, 0
}

// returnEstimates returns what was charged for peers whose admissions are in a new report. Of a
// sum over all peers, the part of those that are still silent stays.
func (l *SharedLimiter) returnEstimates(peer *peerTotals) {
	kept := 0.0
	if peer.charged > 0 {
		kept = min(float64(l.silent.Count)/float64(peer.charged), 1)
	}
	for customer, estimated := range peer.estimated {
		l.buckets[customer].level += estimated * (1 - kept)
		peer.estimated[customer] = estimated * kept
	}
	peer.charged = min(peer.charged, l.silent.Count)
	if kept == 0 {
		clear(peer.estimated)
	}
}
