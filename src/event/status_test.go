package event

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPhaseOf(t *testing.T) {
	start := time.Unix(10000, 0)
	base := Facts{Start: start, End: start.Add(time.Hour), Lead: 10 * time.Minute}
	missing, blocked := []string{"two servers"}, []string{"the cloud refuses"}
	for _, c := range []struct {
		name             string
		at               time.Duration
		missing, blocked []string
		want             Phase
	}{
		{"long before", -time.Hour, missing, nil, Scheduled},
		{"long before, blocked", -time.Hour, nil, blocked, Degraded},
		{"preparing", -5 * time.Minute, missing, nil, Preparing},
		{"preparing, blocked", -5 * time.Minute, missing, blocked, Degraded},
		{"prepared", -5 * time.Minute, nil, nil, Ready},
		{"started", 0, nil, nil, InForce},
		{"started, servers missing", time.Minute, missing, nil, Degraded},
		{"over", time.Hour, missing, blocked, Ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := base
			f.Now, f.Missing, f.Blocked = start.Add(c.at), c.missing, c.blocked
			got, reasons := PhaseOf(f)
			is.Equal(got, c.want)
			is.Equal(len(reasons) > 0, got == Degraded || got == Preparing)
		})
	}
}

func TestSinceChangesWithPhaseOnly(t *testing.T) {
	is := is.New(t)
	f := Facts{Start: time.Unix(100, 0), End: time.Unix(200, 0), Now: time.Unix(150, 0), Missing: []string{"a"}}
	first, changed := Next(Status{}, "e", 1, f)
	is.True(changed)
	f.Now = f.Now.Add(time.Second)
	_, changed = Next(first, "e", 1, f)
	is.True(!changed)
	f.Missing = []string{"b"}
	second, changed := Next(first, "e", 1, f)
	is.True(changed)
	is.Equal(second.Since, first.Since)
}
