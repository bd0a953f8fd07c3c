package caller

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/member"
)

// Endpoint is an address that callers may use.
type Endpoint struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
}

// Endpoints is the response body of GET /v1/endpoints, in order of preference.
type Endpoints struct {
	Endpoints  []Endpoint `json:"endpoints"`
	TTLSeconds int        `json:"ttl_s"` // lifetime of the response, in seconds
	Revision   int64      `json:"revision"`
}

// serveEndpoints returns the endpoints for a caller. It requires no bearer key.
func (s *Server) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	caller := host
	if cust, ok := s.coord.Catalog().CustomerByKey(bearerKey(r)); ok {
		caller = cust.Name + "@" + host
	}
	var nodes []member.Node
	for _, n := range s.fleet.Nodes() {
		if !n.Leaving && !s.fleet.RecentlyFailed(n.Name) {
			nodes = append(nodes, n)
		}
	}
	out := Endpoints{Endpoints: []Endpoint{}, TTLSeconds: int(s.config.Stop.TTL.Seconds())}
	for _, n := range Order(nodes, caller, s.fleet.Load) {
		out.Endpoints = append(out.Endpoints, Endpoint{n.Callers, n.FailureDomain, n.Region})
	}
	out.Revision = s.revision()
	writeJSON(w, http.StatusOK, out)
}

// Order sorts nodes for a caller by weighted rendezvous hashing. The order
// differs between callers and changes little when nodes join or leave. Nodes
// with a higher load come first for fewer callers.
func Order(nodes []member.Node, caller string, load func(string) int) []member.Node {
	total := 0
	for _, n := range nodes {
		total += load(n.Name)
	}
	mean := float64(total)/float64(max(len(nodes), 1)) + 1
	score := func(n member.Node) float64 {
		h := float64(xxhash.Sum64String(caller+"\x00"+n.Name)>>11+1) / float64(1<<53+1)
		weight := 1 / (1 + float64(load(n.Name))/mean)
		return -weight / math.Log(h)
	}
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b member.Node) int { return cmp.Compare(score(b), score(a)) })
	return out
}
