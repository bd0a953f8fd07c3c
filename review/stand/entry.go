package main

import (
	"time"
)

// Case entry: another writer overwrites the entry of a server that is draining by one that lacks a
// field.
const (
	entryDrainTimeout = 2 * time.Second  // DrainTimeoutMs
	entryLingers      = 12 * time.Second // for which the server serves on
	entryForged       = 4                // entries by another writer
	entryWork         = 20 * time.Millisecond
)

func playEntry(l *lab) (broken bool, err error) {
	l.putConfig([]route{{"confirm", "unsafe", 3000, 1}}, nil)
	for _, id := range []string{"s-1", "s-2", "s-3", "s-4"} {
		if _, err := l.addServer(id, "zone-a", func(string) time.Duration { return entryWork }); err != nil {
			return false, err
		}
	}
	if err := l.addGateways(3, 3); err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	traffic := l.startTraffic(30, 300*time.Millisecond, "/confirm/chair", 3*time.Second)
	time.Sleep(8 * time.Second)
	leaving := l.servers[0]
	leaving.drain()
	acknowledged := time.Now()
	l.logf("the store has acknowledged that %s is draining", leaving.id)
	for time.Since(acknowledged) < entryLingers {
		time.Sleep(entryLingers / (entryForged + 1))
		if l.trouble {
			leaving.mu.Lock()
			entry := leaving.entry()
			leaving.mu.Unlock()
			entry["State"] = "ready"
			delete(entry, "born")
			l.store.Put("servers/"+leaving.id, entry)
			l.logf("another writer has overwritten the entry of %s by one without a field: %v", leaving.id, entry)
		}
	}
	traffic.stop()
	return l.countLate(leaving, acknowledged) > 0, nil
}

// countLate counts the requests that have reached a server more than entryDrainTimeout after the
// store acknowledged that it was draining.
func (l *lab) countLate(s *server, acknowledged time.Time) (late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.arrivals {
		after := in.startedAt.Sub(acknowledged)
		if after <= entryDrainTimeout {
			continue
		}
		late++
		if late <= 5 {
			l.sayf("DRAIN: %s has reached %s %.3f s after the store acknowledged that it is draining", in.id, s.id, after.Seconds())
		}
	}
	l.sayf("%d requests have reached %s later than %s after that", late, s.id, entryDrainTimeout)
	return late
}
