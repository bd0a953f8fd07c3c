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

// readBody reads the request body up to the size limit. If ok is false, it has
// written an error response.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.config.Limits.BodyBytes)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeRejection(w, http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.Itoa(s.config.Limits.BodyBytes)+" bytes")
	case err != nil:
		writeRejection(w, http.StatusBadRequest, "body_broken", "the body could not be read to its end: "+err.Error())
	}
	return body, err == nil
}

// parseRequest builds a request from the headers and the body. If ok is false,
// it has written an error response.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request, cust catalog.Resource, body []byte, repeatable bool) (req serve.Request, ok bool) {
	now := s.coord.Now()
	req = serve.Request{Customer: cust.Name, Target: s.coord.Catalog().TargetOf(cust, now), Repeatable: repeatable}
	req.Key = r.Header.Get(headerKey)
	req.KeyProvided = req.Key != ""
	req.FirstUse = !req.KeyProvided || r.Header.Get(headerAttempt) == "1" || r.Header.Get(headerRetryCount) == "0"
	if !req.KeyProvided {
		req.Key = request.IssueKey(now)
	}
	if err := request.CheckKey(req.Key); err != nil {
		writeRejection(w, http.StatusBadRequest, "bad_key", err.Error())
		return req, false
	}
	if v := r.Header.Get(headerRepeatable); v != "" {
		requested, err := strconv.ParseBool(v)
		if err != nil {
			writeRejection(w, http.StatusBadRequest, "bad_header", headerRepeatable+" must be true or false")
			return req, false
		}
		// The header cannot make a request repeatable if its service is not.
		req.Repeatable = repeatable && requested
	}
	timeout := s.config.Limits.Deadline
	if v := r.Header.Get(headerDeadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 1 {
			writeRejection(w, http.StatusBadRequest, "bad_header", headerDeadline+" must be a number of milliseconds above 0")
			return req, false
		}
		timeout = min(time.Duration(ms)*time.Millisecond, s.config.Limits.MaxDeadline)
	}
	req.Deadline = now.Add(timeout)
	req.Digest = digest(r.Method, r.URL.RequestURI(), body)
	w.Header().Set(headerKey, req.Key)
	return req, true
}

// digest returns a hash of a request, by which the reuse of a key for a different
// request is detected.
func digest(method, path string, body []byte) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+path+"\n")
	_, _ = h.Write(body)
	return h.Sum(nil)[:16]
}
