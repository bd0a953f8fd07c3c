package admit

import "time"

// PeerReport is what a peer reports of its admissions. Reports may arrive late, repeatedly, out of
// order and through other nodes.
type PeerReport struct {
	Peer        string
	Incarnation int64              // of the peer's process
	Sequence    int64              // of the report, increasing within an incarnation
	Totals      map[string]float64 // running totals by customer, since the process started
	MadeAt      time.Time          // by this node's clock
}

// supersedes reports whether a report is later than the last one that was merged.
func (r *PeerReport) supersedes(last *PeerReport) bool {
	if r.Incarnation != last.Incarnation {
		return r.Incarnation > last.Incarnation
	}
	return r.Sequence > last.Sequence
}
