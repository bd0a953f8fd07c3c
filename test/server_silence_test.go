package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times of the tests of servers that fall silent.
const (
	shortSilence        = 1100 * time.Millisecond // of a server that is sound
	silenceRouteTimeout = 5 * time.Second         // of the routes, longer than the silence
)

// Guards against requests that are lost, or run twice, where a sound server falls silent for a
// second and goes on.
func TestSecondOfSilenceLosesNoRequest(t *testing.T) {
	t.Parallel() // mostly waits
	for _, silent := range []int{1, cutServers} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b, nodes, servers := newCutBed(t, 2, cutServers)
			for _, route := range b.config["Routes"].([]any) {
				route.(map[string]any)["TimeoutMs"] = silenceRouteTimeout.Milliseconds()
			}
			b.writeConfig()
			ids := map[string]bool{}
			for _, s := range servers[:silent] {
				ids[s.ID] = true
			}
			var tries []*firstTries
			for i, n := range nodes {
				tries = append(tries, sendFirstTries(n, fmt.Sprint("s-", i), 4*cutClients))
			}
			time.Sleep(time.Second)
			for _, n := range nodes {
				n.links.cutSome(cutSilent, func(id string) bool { return ids[id] })
			}
			time.Sleep(shortSilence)
			for _, n := range nodes {
				n.links.heal()
			}
			time.Sleep(2 * time.Second)
			for i, f := range tries {
				f.end()
				t.Logf("node %d: %s", i, f)
				if silent < cutServers {
					is.Equal(f.served, f.sent)
				}
				// Without any server left, later requests are refused, but none is lost.
				is.Equal(f.served+f.others[fmt.Sprintln(http.StatusServiceUnavailable, "servers_unreachable")+"<nil>"], f.sent)
			}
			is.True(mostRuns(servers) <= 1)
		})
	}
}
