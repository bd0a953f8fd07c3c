package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

// Estimate of the time that bodies take.
const (
	firstBodyTime = 2 * time.Second // before one has arrived
	bodyTimeDecay = 0.9             // weight of the previous estimate if the latest came faster
)

// bodyWaits counts, by customer, the requests whose bodies are still arriving. They are charged to
// the customer's limit when they are complete, so they are what it will have to admit soon.
type bodyWaits struct {
	mu         sync.Mutex
	byCustomer map[string]*bodyWait
}

type bodyWait struct {
	cost float64       // of the requests that wait
	took time.Duration // that bodies have taken lately
}

func newBodyWaits() *bodyWaits { return &bodyWaits{byCustomer: map[string]*bodyWait{}} }

// room returns what the limit, of which this node may use rate per second, will admit until a body
// that begins now is complete, beyond what waits already. It is negative if more waits.
func (b *bodyWaits) room(customer string, rate float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byCustomer[customer]
	if w == nil {
		return rate * firstBodyTime.Seconds()
	}
	return rate*w.took.Seconds() - w.cost
}

// begin adds a request that waits.
func (b *bodyWaits) begin(customer string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byCustomer[customer]
	if w == nil {
		w = &bodyWait{took: firstBodyTime}
		b.byCustomer[customer] = w
	}
	w.cost += cost
}

// end removes a request whose body has taken the given time.
func (b *bodyWaits) end(customer string, cost float64, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byCustomer[customer]
	w.cost -= cost
	w.took = max(took, time.Duration(bodyTimeDecay*float64(w.took)+(1-bodyTimeDecay)*float64(took)))
}

// receiveBody reads the body of the request, unless its customer's limit will not admit it by the
// time that it is complete.
func (n *Node) receiveBody(w http.ResponseWriter, req *clientRequest) *refusal {
	c := req.customer
	if req.request.Body == nil || req.request.Body == http.NoBody {
		return nil
	}
	if c == nil || c.Rate <= 0 || req.forwarded {
		return n.readBody(w, req)
	}
	cost, now := req.quotaCost(), clock.Now()
	room := n.bodyWaits.room(c.Name, c.Rate/float64(n.roster.Count()))
	if ok, wait := n.quota.MayTake(c.Name, cost, req.priority, c.Rate, c.Burst, room, now); !ok {
		return n.quotaRefusal(req, wait)
	}
	n.bodyWaits.begin(c.Name, cost)
	defer func() { n.bodyWaits.end(c.Name, cost, clock.Since(now)) }()
	return n.readBody(w, req)
}
