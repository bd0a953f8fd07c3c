// Package event determines the phase and the status of events. An event is a
// planned surge in demand, configured as a catalog.Event.
package event

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/view"
)

// Prefix is the key prefix of event statuses.
const Prefix = view.Prefix + "status/event/"

// Phase is the phase of an event.
type Phase string

// The phases of an event.
const (
	Scheduled Phase = "Scheduled" // preparation has not begun
	Preparing Phase = "Preparing" // not started; servers are missing
	Ready     Phase = "Ready"     // not started; nothing is missing
	InForce   Phase = "InForce"   // started; nothing is missing
	Degraded  Phase = "Degraded"  // started, but servers are missing; or blocked, at any time before its end
	Ended     Phase = "Ended"
)

// Status is the status of an event as shown to operators.
type Status struct {
	Name    string    `json:"name"`
	Phase   Phase     `json:"phase"`
	Since   time.Time `json:"since"`
	Reasons []string  `json:"reasons,omitempty"`
	Version int64     `json:"version"` // version of the event's resource
}

// Facts determine the phase of an event.
type Facts struct {
	Start, End time.Time
	Lead       time.Duration // time before Start at which preparation begins
	Missing    []string      // reasons why the event is not ready yet
	Blocked    []string      // reasons why it cannot become ready without a change
	Now        time.Time
}

// PhaseOf returns the phase and the reasons for it. Missing servers degrade an
// event from its start on; before that it is being prepared. Blocked reasons
// degrade it at any time before its end.
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

// Next returns the new status of an event whose status was old. changed reports
// whether its phase, reasons or version differ from old.
func Next(old Status, name string, version int64, f Facts) (s Status, changed bool) {
	phase, reasons := PhaseOf(f)
	s = Status{Name: name, Phase: phase, Since: old.Since, Reasons: reasons, Version: version}
	if phase != old.Phase {
		s.Since = f.Now.UTC().Truncate(time.Millisecond)
	}
	same := phase == old.Phase && version == old.Version && slices.Equal(reasons, old.Reasons)
	return s, !same
}

// Decode decodes the stored form.
func Decode(raw []byte) (Status, error) {
	var s Status
	err := json.Unmarshal(raw, &s)
	return s, err
}

// Encode returns the stored form.
func (s Status) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("encode event status: " + err.Error())
	}
	return raw
}
