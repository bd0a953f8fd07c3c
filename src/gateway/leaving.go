package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"k8s.io/klog/v2"
)

// errBadLeaving is the error for a leaving header that is no truth value.
var errBadLeaving = errors.New("the header that tells whether the server is leaving is neither true nor false")

// parseLeaving reports whether a response says that its server is leaving. If the header is
// repeated, one true value suffices. err is set if a value is unusable.
func parseLeaving(values []string) (leaving bool, err error) {
	for _, text := range values {
		value, parseErr := strconv.ParseBool(strings.TrimSpace(text))
		if parseErr != nil {
			err = errBadLeaving
		}
		leaving = leaving || value
	}
	return leaving, err
}

// recordLeaving excludes a server whose response says that it is leaving.
func (n *Node) recordLeaving(s *upstream, header http.Header) {
	values := header.Values(n.headers.ServerLeaving)
	leaving, err := parseLeaving(values)
	if err != nil {
		klog.ErrorS(err, "server_leaving_unusable", "server", s.id, "values", values)
	}
	if leaving && n.upstreams.markLeaving(s) {
		klog.InfoS("server_left", "server", s.id, "by", "header")
	}
}

// markLeaving excludes this run of a server from further requests, whatever its entry says
// and at whatever address. It reports whether the state changed.
func (p *upstreamPool) markLeaving(s *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s = p.current(s)
	if s.leaving {
		return false
	}
	s.leaving, s.draining = true, true
	s.transport.CloseIdleConnections()
	return true
}
