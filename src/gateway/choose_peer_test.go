package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests being forwarded to a node that serves them worse than another one.
func TestBestPeerReachesMostServers(t *testing.T) {
	idle, busy := peer{node: "idle", share: 1}, peer{node: "busy", share: 1, requests: 9}
	partly, cutOff := peer{node: "partly", share: 0.3}, peer{node: "cut off"}
	for want, list := range map[string][]peer{
		"idle":    {busy, idle, partly, cutOff},
		"busy":    {busy, partly, cutOff},
		"partly":  {partly, cutOff},
		"cut off": {cutOff},
	} {
		for range 10 { // the list is shuffled
			got, ok := bestPeer(list)
			is.New(t).True(ok)
			is.New(t).Equal(got.node, want)
		}
	}
	_, ok := bestPeer(nil)
	is.New(t).True(!ok)
}

// Guards against requests being forwarded, one after the other, to nodes that turn out to reach no
// server, while one that has just served a request is known.
func TestNodeThatHasServedIsPreferredToUnknownOnes(t *testing.T) {
	is := is.New(t)
	peers := newForwardPeers()
	peers.served("good")
	good, _ := peers.unknownLoad("good")
	unknown, _ := peers.unknownLoad("unknown")
	is.True(good < unknown)
	for range unknownPenalty + 1 {
		peers.begin("good")
	}
	good, _ = peers.unknownLoad("good")
	is.True(good > unknown) // it is not the only one to be asked
}
