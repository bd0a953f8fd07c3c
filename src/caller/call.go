package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/serve"
)

// serveCall forwards a call to a plain service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, cust catalog.Resource) {
	name := mux.Vars(r)["service"]
	svc, ok := s.coord.Catalog().Services[name]
	if !ok {
		writeRejection(w, http.StatusNotFound, "service_not_found", "there is no service "+name)
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	req, ok := s.parseRequest(w, r, cust, body, svc.Service.Repeatable)
	if !ok {
		return
	}
	if timeout := time.Duration(svc.Service.TimeoutMS) * time.Millisecond; timeout > 0 {
		req.Deadline = earlier(req.Deadline, s.coord.Now().Add(timeout))
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/"+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req.Call = &serve.Call{Service: name, Method: r.Method, Path: path, Header: r.Header.Clone(), Body: body}
	f, refusal := s.coord.Begin(req)
	if refusal != nil {
		writeError(w, *refusal)
		return
	}
	defer f.AddReader(s.coord.Now)()
	if answer := waitForAnswer(r, f); answer != nil {
		writeAnswer(w, *answer)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func writeAnswer(w http.ResponseWriter, a request.Answer) {
	if a.Code != "" {
		writeError(w, a)
		return
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	setOutcomeHeaders(w.Header(), a)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// requestStatus is the response body of GET /v1/requests/{key}.
type requestStatus struct {
	Key     string `json:"key"`
	State   string `json:"state"` // unknown, claimed, running, ended
	Outcome string `json:"outcome,omitempty"`
	Status  int    `json:"status,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Node    string `json:"node,omitempty"` // node that coordinates the request, if known
}

// serveRequestStatus returns the state of a request of this customer.
func (s *Server) serveRequestStatus(w http.ResponseWriter, r *http.Request, cust catalog.Resource) {
	key := mux.Vars(r)["key"]
	full := request.FullKey(cust.Name, key)
	if f := s.coord.FindFlight(full); f != nil {
		_, n := f.Delivered()
		out := requestStatus{Key: key, State: "running", Tokens: n, Node: s.coord.Self.Name}
		if a := f.Answer(); a != nil {
			out.State, out.Outcome, out.Status = "ended", wireOutcome(*a), a.Status
		}
		writeJSON(w, http.StatusOK, out)
		return
	}
	rec := s.coord.LookupRecord(r.Context(), full)
	out := requestStatus{Key: key, State: "unknown"}
	if rec != nil {
		out.State = "claimed"
		if len(rec.Attempts) > 0 {
			out.Node = rec.Attempts[0].Node
		}
		if a, err := request.DecodeAnswer(rec.Answer); err == nil {
			out.State, out.Outcome, out.Status, out.Tokens = "ended", wireOutcome(a), a.Status, len(a.Tokens)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// serveCancel cancels a request of this customer that is in progress at this node.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request, cust catalog.Resource) {
	f := s.coord.FindFlight(request.FullKey(cust.Name, mux.Vars(r)["key"]))
	if f == nil {
		writeRejection(w, http.StatusNotFound, "request_not_found", "no request by this key is in progress at this node; ask GET /v1/requests/{key} where it is")
		return
	}
	f.Cancel()
	w.WriteHeader(http.StatusAccepted)
}
