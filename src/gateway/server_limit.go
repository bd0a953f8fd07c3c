package gateway

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/traffic"
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

// recordLimit takes note of the limit that a response to a request sent at sentAt names.
func (n *Node) recordLimit(s *upstream, header http.Header, sentAt time.Time) {
	limit, err := parseLimit(header, n.headers.ServerLimit)
	if err != nil {
		klog.ErrorS(err, "server_limit_unusable", "server", s.id, "values", header.Values(n.headers.ServerLimit))
		return
	}
	if !limit.limited && !n.limits.Active() {
		return
	}
	now := clock.Now()
	if n.limits.Observe(s.run(), limit.limited, limit.rate, n.members.AgreedTime(sentAt), n.members.AgreedTime(now), now) {
		klog.InfoS("server_limit", "server", s.id, "limited", limit.limited, "rate", limit.rate)
		n.peers.TriggerUrgentExchange()
	}
}

// run identifies this run of the server's process.
func (s *upstream) run() admit.UpstreamRun {
	return admit.UpstreamRun{ID: s.id, StartedMS: s.startedMS}
}

// withinLimits returns the candidates that this node may send a request of the given
// priority to now. If the limits of servers leave none, wait is the time after which
// the request may be sent again.
func (n *Node) withinLimits(list []candidate, priority int) (open []candidate, wait time.Duration) {
	if !n.limits.Active() {
		return list, 0
	}
	now := clock.Now()
	for _, c := range list {
		permit := n.limits.Check(c.upstream.run(), priority, now)
		c.limited = permit.Limited
		if permit.Granted {
			open = append(open, c)
		} else if wait == 0 || permit.Wait < wait {
			wait = permit.Wait
		}
	}
	if len(open) > 0 {
		wait = 0
	}
	return open, wait
}

// applyListedLimits lets the limits of servers that are gone expire.
func (n *Node) applyListedLimits(list []traffic.Upstream) {
	if !n.limits.Active() {
		return
	}
	listed := make(map[admit.UpstreamRun]bool, len(list))
	for _, s := range list {
		listed[admit.UpstreamRun{ID: s.ID, StartedMS: s.StartedMS}] = true
	}
	n.limits.Retain(listed, clock.Now())
}

// maxReportedLimits bounds the limits of servers in this node's record.
const maxReportedLimits = 16

// reportLimits returns the limits of servers for this node's record.
func (n *Node) reportLimits() []*cluster.ServerLimit {
	var out []*cluster.ServerLimit
	for _, news := range n.limits.Report(maxReportedLimits) {
		out = append(out, &cluster.ServerLimit{Server: news.Upstream.ID, StartedMs: news.Upstream.StartedMS, Limited: news.Limited, Rate: news.Rate, AtUs: news.At.UnixMicro()})
	}
	return out
}

// mergeLimits adds the limits of servers that other nodes report.
func (n *Node) mergeLimits(list []*cluster.ServerLimit) {
	if len(list) == 0 {
		return
	}
	var news []admit.LimitNews
	for _, in := range list {
		news = append(news, admit.LimitNews{Upstream: admit.UpstreamRun{ID: in.Server, StartedMS: in.StartedMs}, Limited: in.Limited, Rate: in.Rate, At: time.UnixMicro(in.AtUs)})
	}
	n.limits.Merge(news, clock.Now())
}
