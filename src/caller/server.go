// Package caller implements the HTTP API for callers: endpoint discovery, the
// OpenAI-compatible API, plain services and the state of requests.
package caller

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/serve"
	"github.com/crankridge/crankridge/src/settings"
)

// Phase is a phase in the lifecycle of a node.
type Phase int32

// Phases of a node. A leaving node still accepts requests; a refusing one does not.
const (
	Serving Phase = iota
	Leaving
	Refusing
)

// Server is the HTTP server for callers.
type Server struct {
	coord    *serve.Coordinator
	fleet    *member.Fleet
	config   settings.Entry
	ready    func() bool
	revision func() int64 // of the configuration in force
	phase    atomic.Int32
}

// NewServer returns the server of a node. ready reports whether the node can
// serve requests, and revision returns the revision of the configuration in force.
func NewServer(c *serve.Coordinator, f *member.Fleet, s settings.Entry, ready func() bool, revision func() int64) *Server {
	return &Server{coord: c, fleet: f, config: s, ready: ready, revision: revision}
}

// SetPhase sets the phase of the node.
func (s *Server) SetPhase(p Phase) { s.phase.Store(int32(p)) }

// Phase returns the phase of the node.
func (s *Server) Phase() Phase { return Phase(s.phase.Load()) }

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", s.serveReady)
	r.HandleFunc("/v1/endpoints", s.serveEndpoints).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", s.withCustomer(s.serveModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.withCustomer(s.serveCompletion(true))).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.withCustomer(s.serveCompletion(false))).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{key}", s.withCustomer(s.serveRequestStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{key}", s.withCustomer(s.serveCancel)).Methods(http.MethodDelete)
	r.PathPrefix("/v1/services/{service}").HandlerFunc(s.withCustomer(s.serveCall))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRejection(w, http.StatusNotFound, "not_found", "no such path; see /v1/endpoints, /v1/models, /v1/chat/completions, /v1/services/{service}/")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRejection(w, http.StatusMethodNotAllowed, "method_not_allowed", "this path does not take this method")
	})
	return r
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.Phase() != Serving || !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

type customerHandler func(http.ResponseWriter, *http.Request, catalog.Resource)

// withCustomer authenticates the customer of a request. In phase Refusing it
// rejects all requests.
func (s *Server) withCustomer(next customerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Phase() == Refusing {
			s.refuseLeaving(w)
			return
		}
		cust, ok := s.coord.Catalog().CustomerByKey(bearerKey(r))
		if !ok {
			if !s.ready() {
				a := request.Refused(http.StatusServiceUnavailable, "starting", "this node has no configuration yet", request.Jitter(time.Second))
				writeError(w, a)
				return
			}
			writeRejection(w, http.StatusUnauthorized, "invalid_api_key", "no customer has this bearer key; send Authorization: Bearer <key>")
			return
		}
		next(w, r, cust)
	}
}

func (s *Server) refuseLeaving(w http.ResponseWriter) {
	a := request.Refused(http.StatusServiceUnavailable, "node_leaving", "this node is leaving; use another address of /v1/endpoints", request.Jitter(200*time.Millisecond))
	for _, n := range s.fleet.Nodes() {
		if !n.Leaving && n.Name != s.coord.Self.Name {
			w.Header().Add("Crankridge-Address", n.Callers)
		}
	}
	writeError(w, a)
}

func bearerKey(r *http.Request) string {
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(prefix) || h[:len(prefix)] != prefix {
		return ""
	}
	return h[len(prefix):]
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request, _ catalog.Resource) {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	snap := s.coord.Catalog()
	for _, m := range []map[string]catalog.Resource{snap.Models, snap.Adapters} {
		for name := range m {
			list.Data = append(list.Data, openai.Model{ID: name, Object: "model", OwnedBy: "crankridge"})
		}
	}
	sortModels(list.Data)
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
