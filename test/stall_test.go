package test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// stallToxic is a toxic that drops all bytes of the connections open at a call of
// stallOpenConns, in both directions and without a reset. Later connections work.
type stallToxic struct {
	Link string `json:"link"`
}

// stallSignals maps a link's address to the channel whose closing stalls its open connections.
var stallSignals = struct {
	sync.Mutex
	of map[string]chan struct{}
}{of: map[string]chan struct{}{}}

func init() { toxics.Register("silence", new(stallToxic)) }

// NewState returns the channel that signals the stall of a new connection.
func (s *stallToxic) NewState() any {
	stallSignals.Lock()
	defer stallSignals.Unlock()
	if stallSignals.of[s.Link] == nil {
		stallSignals.of[s.Link] = make(chan struct{})
	}
	return stallSignals.of[s.Link]
}

// Pipe forwards the bytes of one connection until it is stalled, then drops them.
func (s *stallToxic) Pipe(stub *toxics.ToxicStub) {
	stalled := stub.State.(chan struct{})
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			select {
			case <-stalled:
			default:
				stub.Output <- chunk
			}
		}
	}
}

// newStallableLink returns a link that supports stallOpenConns.
func newStallableLink(t *testing.T, name, upstream string) *link {
	l := newLink(t, name, upstream)
	for _, stream := range []string{"upstream", "downstream"} {
		_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
			`{"name":"silence-%s","type":"silence","stream":%q,"attributes":{"link":%q}}`, stream, stream, l.addr)))
		if err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// stallOpenConns permanently stalls the connections that are open now.
func (l *link) stallOpenConns() {
	stallSignals.Lock()
	defer stallSignals.Unlock()
	if open := stallSignals.of[l.addr]; open != nil {
		close(open)
	}
	stallSignals.of[l.addr] = make(chan struct{})
}
