package caller

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/serve"
)

// readBody reads a bounded body; it has answered when ok is false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.set.Limits.BodyBytes)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		refuse(w, http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.Itoa(s.set.Limits.BodyBytes)+" bytes")
	case err != nil:
		refuse(w, http.StatusBadRequest, "body_broken", "the body could not be read to its end: "+err.Error())
	}
	return body, err == nil
}

// ask gathers what the headers say; it has answered when ok is false.
func (s *Server) ask(w http.ResponseWriter, r *http.Request, cust catalog.Resource, body []byte, repeatable bool) (a serve.Request, ok bool) {
	now := s.coord.Now()
	a = serve.Request{Customer: cust.Name, Target: s.coord.Catalog().TargetOf(cust, now), Repeatable: repeatable}
	a.Key = r.Header.Get(headerKey)
	a.KeyProvided = a.Key != ""
	a.FirstUse = !a.KeyProvided || r.Header.Get(headerAttempt) == "1" || r.Header.Get(headerRetryCount) == "0"
	if !a.KeyProvided {
		a.Key = request.IssueKey(now)
	}
	if err := request.CheckKey(a.Key); err != nil {
		refuse(w, http.StatusBadRequest, "bad_key", err.Error())
		return a, false
	}
	if v := r.Header.Get(headerRepeatable); v != "" {
		told, err := strconv.ParseBool(v)
		if err != nil {
			refuse(w, http.StatusBadRequest, "bad_header", headerRepeatable+" must be true or false")
			return a, false
		}
		// A caller may only narrow what the service's resource says.
		a.Repeatable = repeatable && told
	}
	wait := s.set.Limits.Deadline
	if v := r.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 1 {
			refuse(w, http.StatusBadRequest, "bad_header", headerDeadline+" must be a number of milliseconds above 0")
			return a, false
		}
		wait = min(time.Duration(ms)*time.Millisecond, s.set.Limits.MaxDeadline)
	}
	a.Deadline = now.Add(wait)
	a.Digest = digest(r.Method, r.URL.RequestURI(), body)
	w.Header().Set(headerKey, a.Key)
	return a, true
}

// digest tells whether two requests by the same key are the same request.
func digest(method, path string, body []byte) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+path+"\n")
	_, _ = h.Write(body)
	return h.Sum(nil)[:16]
}
