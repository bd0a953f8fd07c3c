package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"k8s.io/klog/v2"
)

// namedLimit is what a response says about its server's limit.
type namedLimit struct {
	limited bool
	rate    float64 // requests per second, if limited
}

var errBadLimit = errors.New("limit is not a finite decimal number of at least 0")

// parseLimit reads the limit from a response header. If the header is repeated, the
// lowest value counts.
func parseLimit(header http.Header, name string) (namedLimit, error) {
	out := namedLimit{}
	for _, text := range header.Values(name) {
		rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return namedLimit{}, errBadLimit
		}
		if !out.limited || rate < out.rate {
			out = namedLimit{true, rate}
		}
	}
	return out, nil
}

// recordLimit takes note of the limit that a response names.
func (n *Node) recordLimit(s *upstream, header http.Header) {
	limit, err := parseLimit(header, n.headers.ServerLimit)
	if err != nil {
		klog.ErrorS(err, "server_limit_unusable", "server", s.id, "values", header.Values(n.headers.ServerLimit))
		return
	}
	if n.upstreams.setLimit(s, limit) {
		klog.InfoS("server_limit", "server", s.id, "limited", limit.limited, "rate", limit.rate)
	}
}

// setLimit records the limit of a server and reports whether it changed.
func (p *upstreamPool) setLimit(s *upstream, limit namedLimit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := s.limit != limit
	s.limit = limit
	return changed
}
