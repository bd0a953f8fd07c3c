package origin

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// History is which software versions the servers of one service have had, as kept in the store.
// Times are those on which the nodes agree.
type History struct {
	Since time.Time            // from which on it is complete; zero if it is since the first server
	Gone  map[string]time.Time // by version: when the last server of it had gone; zero while there is one
}

// Update returns the history with the versions that the servers have now. changed reports
// whether it differs from h. Versions that have been gone for longer than any stream is
// remembered are dropped.
func (h History) Update(present []string, now time.Time) (next History, changed bool) {
	next = History{Since: h.Since, Gone: map[string]time.Time{}}
	for version, gone := range h.Gone {
		switch {
		case slices.Contains(present, version):
		case gone.IsZero():
			next.Gone[version] = now
		case now.Sub(gone) <= MaxAge:
			next.Gone[version] = gone
		}
	}
	for _, version := range present {
		next.Gone[version] = time.Time{}
	}
	if !slices.Equal(h.present(), next.present()) {
		return next, true
	}
	return h, false
}

// Adds reports whether h names versions that before does not.
func (h History) Adds(before History) bool {
	for version := range h.Gone {
		if _, ok := before.Gone[version]; !ok {
			return true
		}
	}
	return false
}

// Names reports whether a stream may begin at a version: h names it, and goes on to do so for as
// long as the stream can be in progress.
func (h History) Names(version string, now time.Time) bool {
	gone, ok := h.Gone[version]
	return ok && (gone.IsZero() || now.Sub(gone) <= MaxAge/2)
}

// Several reports whether the service has servers of several versions, or had until the given
// time ago.
func (h History) Several(now time.Time, within time.Duration) bool {
	count := 0
	for _, gone := range h.Gone {
		if gone.IsZero() || now.Sub(gone) <= within {
			count++
		}
	}
	return count > 1
}

// present returns the versions of which there is a server, sorted.
func (h History) present() []string {
	var out []string
	for version, gone := range h.Gone {
		if gone.IsZero() {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Sole returns the only version that the servers of the service have had since before any stream
// that is still in progress can have begun. present are the versions that they have now.
func (h History) Sole(present []string, now time.Time) (version string, ok bool) {
	if !h.Since.IsZero() && now.Sub(h.Since) <= MaxAge {
		return "", false
	}
	versions := map[string]bool{}
	for _, v := range present {
		versions[v] = true
	}
	for v, gone := range h.Gone {
		if gone.IsZero() || now.Sub(gone) <= MaxAge {
			versions[v] = true
		}
	}
	if len(versions) != 1 {
		return "", false
	}
	return slices.Collect(maps.Keys(versions))[0], true
}

// storedHistory is the form of a History in the store.
type storedHistory struct {
	SinceMS int64            `json:"since_ms,omitempty"` // Unix ms
	GoneMS  map[string]int64 `json:"gone_ms"`            // Unix ms, 0 while there is a server
}

// Encode returns the form in which a history is stored.
func (h History) Encode() []byte {
	out := storedHistory{GoneMS: map[string]int64{}}
	if !h.Since.IsZero() {
		out.SinceMS = h.Since.UnixMilli()
	}
	for version, gone := range h.Gone {
		out.GoneMS[version] = 0
		if !gone.IsZero() {
			out.GoneMS[version] = gone.UnixMilli()
		}
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic("origin: encode history: " + err.Error())
	}
	return raw
}

// DecodeHistory decodes the form returned by Encode.
func DecodeHistory(raw []byte) (History, error) {
	var in storedHistory
	if err := json.Unmarshal(raw, &in); err != nil {
		return History{}, err
	}
	h := History{Gone: map[string]time.Time{}}
	if in.SinceMS != 0 {
		h.Since = time.UnixMilli(in.SinceMS)
	}
	for version, ms := range in.GoneMS {
		h.Gone[version] = time.Time{}
		if ms != 0 {
			h.Gone[version] = time.UnixMilli(ms)
		}
	}
	return h, nil
}
