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
	maxBodyBytes          = 1 << 20
	unavailableRetryAfter = 3 * time.Second
	headerChangeID        = "Crankridge-Change-Id"
	headerOutcome         = "Crankridge-Outcome"
	bookmarkInterval      = 5 * time.Second
)

// Server serves the operators' HTTP API.
type Server struct {
	store        *Store
	view         *view.View
	fleet        *member.Fleet
	queryRollout func(ctx context.Context, version int64) RolloutStatus
	decisionsFor func(subject string) []telemetry.Decision
}

// RolloutStatus tells how many live nodes have applied a version.
type RolloutStatus struct {
	Version int64    `json:"version"`
	Nodes   int      `json:"nodes"`
	Have    int      `json:"have"` // nodes that have applied the version
	Lagging []string `json:"lagging,omitempty"`
}

// NewServer returns a Server. queryRollout queries the live nodes; decisionsFor
// reads the planner's decision journal.
func NewServer(s *Store, v *view.View, f *member.Fleet, queryRollout func(context.Context, int64) RolloutStatus, decisionsFor func(string) []telemetry.Decision) *Server {
	return &Server{store: s, view: v, fleet: f, queryRollout: queryRollout, decisionsFor: decisionsFor}
}

// Routes registers the API's handlers on r.
func (s *Server) Routes(r *mux.Router) {
	r.HandleFunc("/v1/resources/{kind}", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.remove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce", s.rolloutStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/status/events", s.listEventStatuses).Methods(http.MethodGet)
	r.HandleFunc("/v1/nodes", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, http.StatusOK, s.fleet.Nodes()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/upstreams", s.listUpstreams).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", func(w http.ResponseWriter, q *http.Request) {
		replyJSON(w, http.StatusOK, s.decisionsFor(q.URL.Query().Get("subject")))
	}).Methods(http.MethodGet)
}

// Problem is the body of an error response.
type Problem struct {
	Error   string            `json:"error"`
	Hint    string            `json:"hint,omitempty"`
	Current *catalog.Resource `json:"current,omitempty"`
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func parseKind(w http.ResponseWriter, r *http.Request) (catalog.Kind, bool) {
	kind, ok := catalog.ParseKind(mux.Vars(r)["kind"])
	if !ok {
		replyJSON(w, http.StatusNotFound, Problem{Error: "there is no kind " + mux.Vars(r)["kind"], Hint: fmt.Sprintf("kinds are %v", catalog.Kinds)})
	}
	return kind, ok
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if kind, ok := parseKind(w, r); ok {
		rev, _ := s.view.Complete()
		w.Header().Set("Crankridge-Revision", strconv.FormatInt(rev, 10))
		replyJSON(w, http.StatusOK, s.store.List(kind))
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(w, r)
	if !ok {
		return
	}
	res, ok := s.store.Get(kind, mux.Vars(r)["name"])
	if !ok {
		replyJSON(w, http.StatusNotFound, Problem{Error: fmt.Sprintf("there is no %s %q", kind, mux.Vars(r)["name"])})
		return
	}
	w.Header().Set("ETag", etag(res.Version))
	replyJSON(w, http.StatusOK, res)
}

func etag(version int64) string { return fmt.Sprintf("%q", strconv.FormatInt(version, 10)) }

// parseIfMatch reads the expected version from If-Match; "0" means that the
// resource must not exist.
func parseIfMatch(w http.ResponseWriter, r *http.Request) (int64, bool) {
	v := strings.Trim(r.Header.Get("If-Match"), `"`)
	if v == "" {
		replyJSON(w, http.StatusPreconditionRequired, Problem{
			Error: "If-Match is missing", Hint: `send the version you read as If-Match, or "0" to create`,
		})
		return 0, false
	}
	version, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		replyJSON(w, http.StatusBadRequest, Problem{Error: "If-Match must be a version number; got " + v})
	}
	return version, err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(w, r)
	if !ok {
		return
	}
	version, ok := parseIfMatch(w, r)
	if !ok {
		return
	}
	res, ok := readResource(w, r, kind)
	if !ok {
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		res.Version = version
		replyJSON(w, http.StatusOK, res)
		return
	}
	changeID := r.Header.Get(headerChangeID)
	if changeID == "" {
		changeID = uuid.NewString()
	}
	w.Header().Set(headerChangeID, changeID)
	stored, err := s.store.Put(r.Context(), res, version, changeID)
	klog.InfoS("put", "kind", kind, "name", res.Name, "expected", version, "version", stored.Version, "change", changeID, "err", err)
	s.replyResult(w, stored, err)
}

func readResource(w http.ResponseWriter, r *http.Request, kind catalog.Kind) (catalog.Resource, bool) {
	var res catalog.Resource
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&res); err != nil {
		replyJSON(w, http.StatusBadRequest, Problem{Error: "the body is not a resource: " + err.Error()})
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
		replyJSON(w, http.StatusBadRequest, Problem{Error: fmt.Sprintf("the path names %s/%s, the body %s/%s", kind, name, res.Kind, res.Name)})
		return res, false
	}
	res.Changes = nil
	if err := res.Validate(); err != nil {
		replyJSON(w, http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return res, false
	}
	return res, true
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(w, r)
	if !ok {
		return
	}
	version, ok := parseIfMatch(w, r)
	if !ok {
		return
	}
	deleted, err := s.store.Delete(r.Context(), kind, mux.Vars(r)["name"], version)
	klog.InfoS("delete", "kind", kind, "name", mux.Vars(r)["name"], "expected", version, "version", deleted.Version, "err", err)
	s.replyResult(w, deleted, err)
}

func (s *Server) replyResult(w http.ResponseWriter, res catalog.Resource, err error) {
	switch {
	case err == nil:
		w.Header().Set("ETag", etag(res.Version))
		replyJSON(w, http.StatusOK, res)
	case errors.Is(err, ErrNotFound):
		replyJSON(w, http.StatusNotFound, Problem{Error: ErrNotFound.Error()})
	case errors.Is(err, ErrConflict):
		p := Problem{Error: "the resource is at another version", Hint: "read it, apply your change to what stands there, and send its version as If-Match"}
		if res.Version > 0 {
			p.Current = &res
		}
		replyJSON(w, http.StatusPreconditionFailed, p)
	case errors.Is(err, ErrStoreUnavailable):
		w.Header().Set(headerOutcome, string(request.NotRun))
		w.Header().Set("Retry-After", strconv.Itoa(int(request.Jitter(unavailableRetryAfter).Seconds())+1))
		replyJSON(w, http.StatusServiceUnavailable, Problem{Error: ErrStoreUnavailable.Error(), Hint: "nothing was changed; try again after Retry-After"})
	default:
		w.Header().Set(headerOutcome, string(request.MayHaveRun))
		w.Header().Set("Retry-After", strconv.Itoa(int(request.Jitter(unavailableRetryAfter).Seconds())+1))
		replyJSON(w, http.StatusServiceUnavailable, Problem{Error: err.Error(), Hint: "send the same change again with the same " + headerChangeID + ": it is made once"})
	}
}

func (s *Server) rolloutStatus(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		replyJSON(w, http.StatusBadRequest, Problem{Error: "version must be a number"})
		return
	}
	replyJSON(w, http.StatusOK, s.queryRollout(r.Context(), version))
}

func (s *Server) listEventStatuses(w http.ResponseWriter, _ *http.Request) {
	statuses := []event.Status{}
	for _, it := range s.view.List(event.Prefix) {
		if st, err := event.Decode(it.Value); err == nil {
			statuses = append(statuses, st)
		}
	}
	replyJSON(w, http.StatusOK, statuses)
}

func (s *Server) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	published := []upstream.Published{}
	for _, it := range s.view.List(upstream.Prefix) {
		if d, err := upstream.DecodeDomainUpstreams(it.Value); err == nil {
			published = append(published, d.Upstreams...)
		}
	}
	replyJSON(w, http.StatusOK, published)
}
