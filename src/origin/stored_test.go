package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against stored streams that are remembered for longer than their clients may come back.
func TestStoredStreamsExpire(t *testing.T) {
	is := is.New(t)
	m, clock := newTestMemory()
	m.Remember(keyOf("a"), originOne, 10*time.Second)
	m.Remember(keyOf("b"), originTwo, 30*time.Second)
	m.Merge("hub", Batch{LogID: 1, Through: 1, Entries: []Entry{{keyOf("c"), originTwo, time.Minute}}}, true)
	entries, through := m.Own(10)
	is.Equal(len(entries), 2) // not what others have begun
	m.Remember(keyOf("d"), originOne, 20*time.Second)
	_, later := m.Own(10)
	is.True(later > through)
	raw := EncodeStreams(entries, historyTime)
	decoded, err := DecodeStreams(raw, historyTime.Add(15*time.Second))
	is.NoErr(err)
	is.Equal(decoded, []Entry{{keyOf("b"), originTwo, 15 * time.Second}})
	decoded, err = DecodeStreams(raw, historyTime.Add(-time.Hour)) // the writer's clock was fast
	is.NoErr(err)
	is.Equal(len(decoded), 2)
	again := NewMemory(clock.now)
	again.Restore(decoded)
	at, _, ok := again.Lookup(keyOf("a"))
	is.True(ok)
	is.Equal(at, originOne)
	own, _ := again.Own(10)
	is.Equal(len(own), 0)
	_, err = DecodeStreams([]byte("no streams"), historyTime)
	is.True(err != nil)
}

func TestSeveralVersions(t *testing.T) {
	is := is.New(t)
	h := History{Gone: map[string]time.Time{"v1": {}, "v2": historyTime.Add(-time.Minute)}}
	is.True(h.Several(historyTime, time.Minute))
	is.True(!h.Several(historyTime.Add(time.Second), time.Minute))
}
