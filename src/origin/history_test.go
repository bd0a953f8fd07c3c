package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var historyTime = time.UnixMilli(1_700_000_000_000)

func TestSoleVersion(t *testing.T) {
	const minute = time.Minute
	for name, c := range map[string]struct {
		history History
		present []string
		want    string
	}{
		"one since the beginning":  {History{Gone: map[string]time.Time{"v1": {}}}, []string{"v1"}, "v1"},
		"one that has gone":        {History{Gone: map[string]time.Time{"v1": historyTime.Add(-minute)}}, nil, "v1"},
		"no server yet":            {History{}, nil, ""},
		"two now":                  {History{Gone: map[string]time.Time{"v1": {}}}, []string{"v1", "v2"}, ""},
		"another a minute ago":     {History{Gone: map[string]time.Time{"v1": {}, "v2": historyTime.Add(-minute)}}, []string{"v1"}, ""},
		"another long ago":         {History{Gone: map[string]time.Time{"v1": {}, "v2": historyTime.Add(-MaxAge - minute)}}, []string{"v1"}, "v1"},
		"replaced meanwhile":       {History{Gone: map[string]time.Time{"v1": {}}}, []string{"v2"}, ""},
		"not known for long":       {History{Since: historyTime.Add(-minute), Gone: map[string]time.Time{"v1": {}}}, []string{"v1"}, ""},
		"known for long":           {History{Since: historyTime.Add(-MaxAge - minute), Gone: map[string]time.Time{"v1": {}}}, []string{"v1"}, "v1"},
		"clock of the writer fast": {History{Gone: map[string]time.Time{"v1": {}, "v2": historyTime.Add(minute)}}, []string{"v1"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := c.history.Sole(c.present, historyTime)
			is.Equal(got, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestHistoryIsUpdatedAndStored(t *testing.T) {
	is := is.New(t)
	h, changed := History{Since: historyTime}.Update([]string{"v1"}, historyTime)
	is.True(changed)
	_, changed = h.Update([]string{"v1"}, historyTime.Add(time.Hour))
	is.True(!changed)
	h, changed = h.Update([]string{"v2"}, historyTime.Add(time.Minute))
	is.True(changed)
	is.Equal(h.Gone["v1"], historyTime.Add(time.Minute))
	is.True(h.Gone["v2"].IsZero())
	decoded, err := DecodeHistory(h.Encode())
	is.NoErr(err)
	is.True(decoded.Since.Equal(h.Since))
	is.True(decoded.Gone["v1"].Equal(h.Gone["v1"]))
	is.True(decoded.Gone["v2"].IsZero())
	h, changed = h.Update([]string{"v2", "v3"}, historyTime.Add(time.Minute+MaxAge+time.Second))
	is.True(changed)
	_, known := h.Gone["v1"]
	is.True(!known) // no stream of it can be in progress any more
	_, err = DecodeHistory([]byte("no history"))
	is.True(err != nil)
}

// Guards against streams that begin at a version which is about to leave the history.
func TestVersionIsNamedWhileItsStreamsAreRemembered(t *testing.T) {
	is := is.New(t)
	h := History{Gone: map[string]time.Time{"v1": {}, "v2": historyTime.Add(-MaxAge / 4), "v3": historyTime.Add(-MaxAge * 3 / 4)}}
	is.True(h.Names("v1", historyTime))
	is.True(h.Names("v2", historyTime)) // a server of it may have come back
	is.True(!h.Names("v3", historyTime))
	is.True(!h.Names("v4", historyTime))
	is.True(h.Adds(History{Gone: map[string]time.Time{"v1": {}, "v2": {}}}))
	is.True(!h.Adds(h))
}
