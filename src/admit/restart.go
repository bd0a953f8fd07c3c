package admit

import "time"

// Limits of a process that has started while earlier ones may have used the limits.
const (
	unknownFraction     = 0.5                    // part of the window in which a process keeps to its even share if no peer reports a level
	restartFillFraction = 0.5                    // of the first filling of a first start that a later one has
	startupCredit       = 250 * time.Millisecond // of its even share that a process may use when it starts beside others
	unreportedFraction  = 0.1                    // part of a bucket's depth that a young process may admit before it reports again
)

// restarted reports whether this process has started so recently that one before it may have
// admitted requests in the same window.
func (l *SharedLimiter) restarted(now time.Time) bool {
	return !l.firstStart && now.Sub(l.startedAt) < l.tolerance.Window
}

// young reports the same of a process without a first filling.
func (l *SharedLimiter) young(now time.Time) bool { return !l.filled && l.restarted(now) }

// reportWait returns how long a young process must hold back a request. What it admits
// before it reports again would be known to no one if it ended: that is at most its even
// share since its start, and at most a part of the depth or a single request.
func (l *SharedLimiter) reportWait(bucket *sharedBucket, cost float64, now time.Time) time.Duration {
	if !l.young(now) || !bucket.known {
		return 0
	}
	unreported := bucket.unreported + cost
	if bucket.unreported > 0 && unreported > unreportedFraction*bucket.depth {
		return exchangeDelay
	}
	accrued := l.evenShare(bucket) * (now.Sub(l.startedAt) + startupCredit).Seconds()
	return max(time.Duration((unreported-accrued)/l.evenShare(bucket)*float64(time.Second)), 0)
}

// BucketLevel is what a process reports of a bucket to those that have just started.
type BucketLevel struct {
	Level  float64 // with all admissions that the process has made or heard of
	Recent float64 // decaying sum of its own admissions, from which it estimates those of others
}

// StartsApart is the least time, in windows, between two starts of a node that both have a
// first filling.
const StartsApart = 2

// AllowFirstFilling gives the buckets of a process that has just started a first filling. The
// caller makes sure that no other process of this node had one within StartsApart windows.
func (l *SharedLimiter) AllowFirstFilling() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filled {
		return
	}
	l.filled = true
	for _, bucket := range l.buckets {
		if !bucket.known {
			bucket.level += l.initialFill() * bucket.depth
			bucket.known = true
		}
	}
}

// Levels returns the levels of the buckets that take account of all earlier admissions, to
// be reported to peers that have just started.
func (l *SharedLimiter) Levels(now time.Time) map[string]BucketLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]BucketLevel, len(l.buckets))
	for customer, bucket := range l.buckets {
		if bucket.known && bucket.depth > 0 {
			out[customer] = BucketLevel{bucket.refilled(bucket.level, bucket.updatedAt, now), bucket.recentLocal}
		}
	}
	return out
}

// AdoptLevels takes over the levels that a peer reports, for buckets that do not take
// account of what was admitted before this process started. While the process is young it
// takes the lowest: a peer may lack what others have admitted since their last reports.
// The levels are those at the time heard.
func (l *SharedLimiter) AdoptLevels(node string, levels map[string]BucketLevel, heard, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[node]
	if !l.restarted(now) || peer == nil || !heard.After(peer.levelsAt) {
		return
	}
	peer.levelsAt = heard
	for customer, reported := range levels {
		bucket := l.buckets[customer]
		if bucket == nil || bucket.depth == 0 {
			l.buckets[customer] = &sharedBucket{level: reported.Level, recentLocal: reported.Recent, updatedAt: heard, known: true, adopted: true}
			continue
		}
		l.advance(customer, bucket, now)
		level := bucket.refilled(reported.Level, heard, now)
		switch {
		case !bucket.adopted:
			bucket.level, bucket.known, bucket.adopted = level-l.admitted[customer], true, true
			bucket.recentLocal = max(bucket.recentLocal, reported.Recent)
		case l.young(now):
			bucket.level = min(bucket.level, level)
		}
	}
}

// refilled returns what a level at the time from has grown to at the time to.
func (b *sharedBucket) refilled(level float64, from, to time.Time) float64 {
	elapsed := max(min(to.Sub(from), maxRefillInterval), 0).Seconds()
	return min(level+b.fill*elapsed, b.depth)
}

// chargeLost charges what the earlier process of a restarted peer may have admitted after its
// last report: its even share of that time, and what reportWait allows. That holds for each
// customer, also those of which the process had reported nothing yet, unless that was a
// window ago.
func (l *SharedLimiter) chargeLost(peer *peerTotals, now time.Time) {
	silent := now.Sub(peer.MadeAt)
	period := min(silent, peerTimeout).Seconds()
	for customer, bucket := range l.buckets {
		outOfWindow := peer.Totals[customer] == 0 && silent >= l.tolerance.Window
		if !bucket.known || bucket.depth == 0 || outOfWindow {
			continue
		}
		bucket.level -= l.evenShare(bucket)*period + unreportedFraction*bucket.depth + bucket.largestCost
	}
}
