package test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// silence is a toxic that lets bytes through until its link falls silent. Then
// the connections that are open pass nothing any more, in either direction and
// without a reset, while new ones work.
type stallToxic struct {
	Link string `json:"link"`
}

// silences holds, by link, the channel that closes when its open connections fall silent.
var stallSignals = struct {
	sync.Mutex
	of map[string]chan struct{}
}{of: map[string]chan struct{}{}}

func init() { toxics.Register("silence", new(stallToxic)) }

// NewState keeps, for a connection, when it falls silent.
func (s *stallToxic) NewState() any {
	stallSignals.Lock()
	defer stallSignals.Unlock()
	if stallSignals.of[s.Link] == nil {
		stallSignals.of[s.Link] = make(chan struct{})
	}
	return stallSignals.of[s.Link]
}

// Pipe passes one connection's bytes on, or drops them.
func (s *stallToxic) Pipe(stub *toxics.ToxicStub) {
	silent := stub.State.(chan struct{})
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
			case <-silent:
			default:
				stub.Output <- chunk
			}
		}
	}
}

// newSilentLink is a link whose open connections can be silenced for good.
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

// silenceOpen silences the connections that are open now, for good.
func (l *link) stallOpenConns() {
	stallSignals.Lock()
	defer stallSignals.Unlock()
	if open := stallSignals.of[l.addr]; open != nil {
		close(open)
	}
	stallSignals.of[l.addr] = make(chan struct{})
}
