// Package event owns the phases of an event and how one follows from another.
package event

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/view"
)

// Prefix is where the statuses of events stand.
const Prefix = view.Prefix + "status/event/"

// Phase is where an event stands.
type Phase string

// The phases. A degraded event says why and since when.
const (
	Scheduled Phase = "Scheduled"
	Preparing Phase = "Preparing"
	Ready     Phase = "Ready"
	InForce   Phase = "InForce"
	Degraded  Phase = "Degraded"
	Ended     Phase = "Ended"
)

// Status is what operators see of an event.
type Status struct {
	Name    string    `json:"name"`
	Phase   Phase     `json:"phase"`
	Since   time.Time `json:"since"`
	Reasons []string  `json:"reasons,omitempty"`
	Version int64     `json:"version"` // of the event's resource
}

// Facts are what a phase follows from.
type Facts struct {
	Start, End time.Time
	Lead       time.Duration // preparation begins so long before Start
	Missing    []string      // what is not there yet, one reason each
	Blocked    []string      // what cannot come without a change or is refused
	Now        time.Time
}

// PhaseOf derives the phase. What is missing is a matter of course while
// there is time to prepare; from the start on, and when it is refused or
// refers to nothing, the event is degraded.
func PhaseOf(f Facts) (Phase, []string) {
	switch {
	case !f.Now.Before(f.End):
		return Ended, nil
	case f.Now.Before(f.Start.Add(-f.Lead)):
		if len(f.Blocked) > 0 {
			return Degraded, f.Blocked
		}
		return Scheduled, nil
	case len(f.Blocked) > 0:
		return Degraded, append(slices.Clone(f.Blocked), f.Missing...)
	case len(f.Missing) > 0 && f.Now.Before(f.Start):
		return Preparing, f.Missing
	case len(f.Missing) > 0:
		return Degraded, f.Missing
	case f.Now.Before(f.Start):
		return Ready, nil
	}
	return InForce, nil
}

// Next is the status that follows old; changed is false when nothing an
// operator sees has changed.
func Next(old Status, name string, version int64, f Facts) (s Status, changed bool) {
	phase, reasons := PhaseOf(f)
	s = Status{Name: name, Phase: phase, Since: old.Since, Reasons: reasons, Version: version}
	if phase != old.Phase {
		s.Since = f.Now.UTC().Truncate(time.Millisecond)
	}
	same := phase == old.Phase && version == old.Version && slices.Equal(reasons, old.Reasons)
	return s, !same
}

// Decode reads the stored form.
func Decode(raw []byte) (Status, error) {
	var s Status
	err := json.Unmarshal(raw, &s)
	return s, err
}

// Encode gives the stored form.
func (s Status) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("a status cannot be encoded: " + err.Error())
	}
	return raw
}
