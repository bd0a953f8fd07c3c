package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/upstream"
	"github.com/crankridge/crankridge/src/view"
)

const (
	maxBody       = 1 << 20
	retryDown     = 3 * time.Second
	headerChange  = "Crankridge-Change-Id"
	headerOutcome = "Crankridge-Outcome"
	bookmarkEvery = 5 * time.Second
)

// Server is the operators' HTTP surface of one process.
type Server struct {
	store   *Store
	view    *view.View
	fleet   *member.Fleet
	inForce func(ctx context.Context, version int64) RolloutStatus
	explain func(subject string) []telemetry.Decision
}

// InForce tells on which live nodes a version is in force.
type RolloutStatus struct {
	Version int64    `json:"version"`
	Nodes   int      `json:"nodes"`
	Have    int      `json:"have"`
	Lagging []string `json:"lagging,omitempty"`
}

// NewServer returns the surface. inForce asks the nodes, explain the planner's journal.
func NewServer(s *Store, v *view.View, f *member.Fleet, inForce func(context.Context, int64) RolloutStatus, explain func(string) []telemetry.Decision) *Server {
	return &Server{store: s, view: v, fleet: f, inForce: inForce, explain: explain}
}

// Routes adds the API to a router.
func (s *Server) Routes(r *mux.Router) {
	r.HandleFunc("/v1/resources/{kind}", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce", s.serveInForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/status/events", s.events).Methods(http.MethodGet)
	r.HandleFunc("/v1/nodes", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.fleet.Nodes()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/upstreams", s.upstreams).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", func(w http.ResponseWriter, q *http.Request) {
		reply(w, http.StatusOK, s.explain(q.URL.Query().Get("subject")))
	}).Methods(http.MethodGet)
}

// Problem is the body of every error.
type Problem struct {
	Error   string            `json:"error"`
	Hint    string            `json:"hint,omitempty"`
	Current *catalog.Resource `json:"current,omitempty"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func kindOf(w http.ResponseWriter, r *http.Request) (catalog.Kind, bool) {
	kind, ok := catalog.ParseKind(mux.Vars(r)["kind"])
	if !ok {
		reply(w, http.StatusNotFound, Problem{Error: "there is no kind " + mux.Vars(r)["kind"], Hint: fmt.Sprintf("kinds are %v", catalog.Kinds)})
	}
	return kind, ok
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if kind, ok := kindOf(w, r); ok {
		rev, _ := s.view.Complete()
		w.Header().Set("Crankridge-Revision", strconv.FormatInt(rev, 10))
		reply(w, http.StatusOK, s.store.List(kind))
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindOf(w, r)
	if !ok {
		return
	}
	res, ok := s.store.Get(kind, mux.Vars(r)["name"])
	if !ok {
		reply(w, http.StatusNotFound, Problem{Error: fmt.Sprintf("there is no %s %q", kind, mux.Vars(r)["name"])})
		return
	}
	w.Header().Set("ETag", etag(res.Version))
	reply(w, http.StatusOK, res)
}

func etag(version int64) string { return fmt.Sprintf("%q", strconv.FormatInt(version, 10)) }

// expected reads If-Match: a version, or "0" for a resource that must not exist.
func expected(w http.ResponseWriter, r *http.Request) (int64, bool) {
	v := strings.Trim(r.Header.Get("If-Match"), `"`)
	if v == "" {
		reply(w, http.StatusPreconditionRequired, Problem{
			Error: "If-Match is missing", Hint: `send the version you read as If-Match, or "0" to create`,
		})
		return 0, false
	}
	version, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, Problem{Error: "If-Match must be a version number; got " + v})
	}
	return version, err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindOf(w, r)
	if !ok {
		return
	}
	version, ok := expected(w, r)
	if !ok {
		return
	}
	res, ok := readResource(w, r, kind)
	if !ok {
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		res.Version = version
		reply(w, http.StatusOK, res)
		return
	}
	change := r.Header.Get(headerChange)
	if change == "" {
		change = uuid.NewString()
	}
	w.Header().Set(headerChange, change)
	stored, err := s.store.Put(r.Context(), res, version, change)
	klog.InfoS("put", "kind", kind, "name", res.Name, "expected", version, "version", stored.Version, "change", change, "err", err)
	s.answer(w, stored, err)
}

func readResource(w http.ResponseWriter, r *http.Request, kind catalog.Kind) (catalog.Resource, bool) {
	var res catalog.Resource
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&res); err != nil {
		reply(w, http.StatusBadRequest, Problem{Error: "the body is not a resource: " + err.Error()})
		return res, false
	}
	if res.Kind == "" {
		res.Kind = kind
	}
	name := mux.Vars(r)["name"]
	if res.Name == "" {
		res.Name = name
	}
	if res.Kind != kind || res.Name != name {
		reply(w, http.StatusBadRequest, Problem{Error: fmt.Sprintf("the path names %s/%s, the body %s/%s", kind, name, res.Kind, res.Name)})
		return res, false
	}
	res.Changes = nil
	if err := res.Validate(); err != nil {
		reply(w, http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return res, false
	}
	return res, true
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindOf(w, r)
	if !ok {
		return
	}
	version, ok := expected(w, r)
	if !ok {
		return
	}
	gone, err := s.store.Delete(r.Context(), kind, mux.Vars(r)["name"], version)
	klog.InfoS("delete", "kind", kind, "name", mux.Vars(r)["name"], "expected", version, "version", gone.Version, "err", err)
	s.answer(w, gone, err)
}

func (s *Server) answer(w http.ResponseWriter, res catalog.Resource, err error) {
	switch {
	case err == nil:
		w.Header().Set("ETag", etag(res.Version))
		reply(w, http.StatusOK, res)
	case errors.Is(err, ErrConflict):
		p := Problem{Error: "the resource is at another version", Hint: "read it, apply your change to what stands there, and send its version as If-Match"}
		if res.Version > 0 {
			p.Current = &res
		}
		reply(w, http.StatusPreconditionFailed, p)
	case errors.Is(err, ErrStoreUnavailable):
		w.Header().Set(headerOutcome, string(request.NotRun))
		w.Header().Set("Retry-After", strconv.Itoa(int(request.Jitter(retryDown).Seconds())+1))
		reply(w, http.StatusServiceUnavailable, Problem{Error: ErrStoreUnavailable.Error(), Hint: "nothing was changed; try again after Retry-After"})
	default:
		w.Header().Set(headerOutcome, string(request.MayHaveRun))
		w.Header().Set("Retry-After", strconv.Itoa(int(request.Jitter(retryDown).Seconds())+1))
		reply(w, http.StatusServiceUnavailable, Problem{Error: err.Error(), Hint: "send the same change again with the same " + headerChange + ": it is made once"})
	}
}

func (s *Server) serveInForce(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, Problem{Error: "version must be a number"})
		return
	}
	reply(w, http.StatusOK, s.inForce(r.Context(), version))
}

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	out := []event.Status{}
	for _, it := range s.view.List(event.Prefix) {
		if st, err := event.Decode(it.Value); err == nil {
			out = append(out, st)
		}
	}
	reply(w, http.StatusOK, out)
}

func (s *Server) upstreams(w http.ResponseWriter, _ *http.Request) {
	out := []upstream.Published{}
	for _, it := range s.view.List(upstream.Prefix) {
		if d, err := upstream.DecodeDomainUpstreams(it.Value); err == nil {
			out = append(out, d.Upstreams...)
		}
	}
	reply(w, http.StatusOK, out)
}
