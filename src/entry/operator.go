package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/operator"
	"github.com/crankridge/crankridge/src/serve"
	"github.com/crankridge/crankridge/src/upstream"
)

// State is the debug dump of a node.
type State struct {
	Node             member.Node         `json:"node"`
	UptimeS          int64               `json:"uptime_s"`
	Phase            int                 `json:"phase"`             // 0 serving, 1 leaving, 2 refusing
	CompleteRevision int64               `json:"complete_revision"` // store revision up to which the view has every change
	RevisionSource   string              `json:"complete_from"`     // source that last advanced the view: "kv" or "peer"
	Versions         map[string]int64    `json:"versions"`          // revisions by key
	Nodes            []member.Node       `json:"nodes"`
	Suspects         []string            `json:"suspects"`
	Upstreams        []upstream.Dump     `json:"upstreams"`
	OpenRequests     int                 `json:"open_requests"`
	RetriesLeft      float64             `json:"retries_left"`
	Requests         []serve.FlightDump  `json:"requests"`
	Queues           []serve.QueueDump   `json:"queues"`
	Shards           map[int]ShardState  `json:"shards_kept"`
	Records          int                 `json:"records"`       // claim records kept
	MapShards        int                 `json:"map_shards"`    // shards in the shard map
	PassiveShards    int                 `json:"map_passive"`   // of these, not active yet
	Traffic          map[string][2]int64 `json:"control_bytes"` // bytes in and out, by channel
}

// ShardState describes a shard that this node keeps.
type ShardState struct {
	Epoch int64 `json:"epoch"`
	Ready int64 `json:"ready"` // epoch that this node is ready for, or 0
}

func (n *Node) state() State {
	rev, source := n.view.Complete()
	s := State{
		Node: n.self, UptimeS: int64(time.Since(n.startedAt).Seconds()), Phase: int(n.callers.Phase()), CompleteRevision: rev, RevisionSource: string(source),
		Versions: map[string]int64{}, Nodes: n.fleet.Nodes(), Suspects: suspectedNodes(n.fleet), Upstreams: n.registry.Dumps(),
		OpenRequests: n.coord.OpenRequests(), RetriesLeft: n.coord.RetriesLeft(), Requests: n.coord.Flights(), Queues: n.coord.Queues(),
		Shards: map[int]ShardState{}, Records: n.ledger.Expire(time.Now()), // Expire returns the number of records left
		Traffic: map[string][2]int64{
			"kv":        {n.kvTraffic.In.Load(), n.kvTraffic.Out.Load()},
			"peers_out": {n.pool.Traffic.In.Load(), n.pool.Traffic.Out.Load()},
			"peers_in":  {n.peerServerTraffic.In.Load(), n.peerServerTraffic.Out.Load()},
			"engines":   {n.coord.Engines.Control.In.Load(), n.coord.Engines.Control.Out.Load()},
		},
	}
	for _, it := range n.view.List("") {
		s.Versions[it.Key] = it.Revision
	}
	if m := n.coord.Shards(); m != nil {
		s.addShards(*m, n.ledger.Ready())
	}
	return s
}

func (s *State) addShards(m claim.Map, ready map[int]int64) {
	s.MapShards = len(m.Shards)
	for i, def := range m.Shards {
		if !def.Active {
			s.PassiveShards++
		}
		if r, ok := ready[i]; ok {
			s.Shards[i] = ShardState{Epoch: def.Epoch, Ready: r}
		}
	}
}

func (n *Node) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Handle("/metrics", n.metrics.Handler())
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.state()) })
	r.HandleFunc("/debug/explain", func(w http.ResponseWriter, q *http.Request) {
		writeJSON(w, n.coord.Explain(q.URL.Query().Get("subject")))
	})
	return operator.RequireToken(n.settings.Secrets.Operator, r)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
