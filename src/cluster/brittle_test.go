package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node behind a hub that meets a brittle server as if it had room for all, as
// only others have heard what it says.
func TestSummaryCarriesLatestNewsOfBrittleServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	hub := NewMembers("hub", func() time.Time { return now })
	news := func(startedMS, atUS int64, rejections int32) *BrittleServer {
		return &BrittleServer{Server: "i-1", StartedMs: startedMS, Brittle: true, Rejections: rejections, AtUs: atUS}
	}
	hub.Merge(&Record{Node: "a", Incarnation: 1, Brittle: []*BrittleServer{news(1, 5, 8), news(2, 6, 4)}})
	hub.Merge(&Record{Node: "b", Incarnation: 1, Brittle: []*BrittleServer{news(1, 7, 3)}})
	got := hub.Summarize("c", now).Brittle
	is.Equal(len(got), 2)
	is.Equal(got[0].StartedMs, int64(1)) // the latest news first
	is.Equal(got[0].Rejections, int32(3))
	is.Equal(got[1].Rejections, int32(4))
}
