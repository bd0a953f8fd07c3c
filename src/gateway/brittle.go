package gateway

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
)

// A brittle server falls over if it rejects more than a number of requests in a second. Its
// places are divided over the nodes, and so are the rejections that it bears: a node sends what
// fits into its places and, beyond them, only what it may have rejected.
const (
	rejectionWindow     = 1100 * time.Millisecond // in which rejections count; the server's second, and the way there
	placeRecovery       = 1.0                     // places per second that a node tries again after a rejection
	brittleMemory       = 30 * time.Second        // for which what one run of a server has said holds for new runs of its service
	maxReportedBrittle  = 16                      // servers, in this node's record
	placesRetryAfter    = 200 * time.Millisecond
	maxBrittleRejection = 1 << 20
)

// brittleness is what a run of a server has said last about falling over.
type brittleness struct {
	brittle    bool
	rejections int       // that it bears in a second
	at         time.Time // in the time on which the nodes agree; zero if it has said nothing
}

// brittleState is what bounds this node's requests to a brittle server.
type brittleState struct {
	brittle     brittleness
	unconfirmed int         // requests in progress that have no response header yet
	rejectedAt  []time.Time // rejections within rejectionWindow
	room        int         // requests of this node that it had accepted at the latest rejection
	roomAt      time.Time   // time of that rejection; zero if there was none
}

// places is this node's part of a brittle server.
type places struct {
	own        int // requests that this node may have in progress there
	rejections int // requests that this node may have rejected in a second
}

var errBadBrittle = errors.New("the number of rejections that a brittle server bears is not a whole number of at least 0")

// parseBrittle reads the rejections that a server says it bears. If the header is repeated, the
// lowest value counts.
func parseBrittle(values []string) (rejections int, brittle bool, err error) {
	for _, text := range values {
		value, parseErr := strconv.Atoi(strings.TrimSpace(text))
		if parseErr != nil || value < 0 {
			err = errBadBrittle
			continue
		}
		value = min(value, maxBrittleRejection)
		if !brittle || value < rejections {
			rejections, brittle = value, true
		}
	}
	return rejections, brittle, err
}

// recordBrittle takes note of what a response to a request sent at sentAt says.
func (n *Node) recordBrittle(s *upstream, header http.Header, sentAt time.Time) {
	values := header.Values(n.headers.ServerBrittle)
	rejections, brittle, err := parseBrittle(values)
	if err != nil {
		klog.ErrorS(err, "server_brittle_unusable", "server", s.id, "values", values)
		brittle = true // it has said that it is, if not how much it bears
	}
	news := brittleness{brittle: brittle, rejections: rejections, at: n.members.AgreedTime(clock.Now())}
	if !brittle {
		news.at = n.members.AgreedTime(sentAt) // what was said after that holds on
	}
	if n.upstreams.setBrittle(s, news) {
		klog.InfoS("server_brittle", "server", s.id, "service", s.service, "brittle", brittle, "rejections", rejections)
		n.peers.TriggerUrgentExchange()
	}
}

// setBrittle takes over later news of a server, and reports whether it changes anything.
func (p *upstreamPool) setBrittle(s *upstream, news brittleness) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s = p.current(s)
	if !news.brittle && !p.brittleKnown || !news.at.After(s.brittle.at) {
		return false
	}
	before := s.brittle
	s.brittle = news
	p.brittleKnown = true
	return before.brittle != news.brittle || before.rejections != news.rejections
}

// brittleOf returns the rejections that a server bears in a second. One that has said nothing
// yet is taken to bear what others of its service do. The caller holds the pool's lock.
func (p *upstreamPool) brittleOf(s *upstream, agreed time.Time) (rejections int, brittle bool) {
	if !s.brittle.at.IsZero() {
		return s.brittle.rejections, s.brittle.brittle
	}
	rejections = math.MaxInt
	consider := func(other *upstream) {
		if other.service == s.service && other.brittle.brittle && agreed.Sub(other.brittle.at) < brittleMemory {
			rejections, brittle = min(rejections, other.brittle.rejections), true
		}
	}
	for _, other := range p.byService[s.service] {
		consider(other)
	}
	for _, other := range p.unlisted {
		consider(other)
	}
	return rejections, brittle
}

// divide returns the part of a total of the node with the given rank among the nodes.
func divide(total, rank, nodes int) int {
	part := total / nodes
	if rank < total%nodes {
		part++
	}
	return part
}

// placesAt returns this node's part of a brittle server. One whose slots are not known is taken
// to have one for each node.
func placesAt(self string, nodes []string, server string, slots, rejections int) places {
	if slots <= 0 {
		slots = len(nodes)
	}
	return places{
		own:        divide(slots, admit.Rank(self, nodes, server), len(nodes)),
		rejections: divide(rejections, admit.Rank(self, nodes, "rejections/"+server), len(nodes)),
	}
}

// withinPlaces returns the candidates that this node may send a request to now. full reports
// whether only the places at brittle servers leave none.
func (n *Node) withinPlaces(list []candidate) (open []candidate, full bool) {
	if !n.upstreams.knowsBrittle() {
		return list, false
	}
	agreed := n.clusterTime()
	nodes := append(n.roster.Others(), n.initial.Node)
	for _, c := range list {
		if n.upstreams.hasPlace(c, n.initial.Node, nodes, agreed) {
			open = append(open, c)
		}
	}
	return open, len(list) > 0 && len(open) == 0
}

func (p *upstreamPool) knowsBrittle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittleKnown
}

// hasPlace reports whether a server is not brittle, or this node may send it one more request.
func (p *upstreamPool) hasPlace(c candidate, self string, nodes []string, agreed time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := c.upstream, p.now()
	rejections, brittle := p.brittleOf(s, agreed)
	if !brittle {
		return true
	}
	part := placesAt(self, nodes, s.id, c.slots, rejections)
	rejected := s.recentRejections(now)
	if rejected > 0 && rejected >= part.rejections {
		return false
	}
	safe := s.learnedPlaces(part.own, now)
	if s.requests < safe {
		return true
	}
	atRisk := min(s.unconfirmed, s.requests-safe)
	return rejected+atRisk < part.rejections && c.requests < c.slots
}

// nextOwner returns a node that has places at the brittle servers of the request's service, if
// only their places leave this node no server. A request is forwarded for that once.
func (f *forwarder) nextOwner(picked choice) (peer, bool) {
	n := f.node
	if !picked.full || f.req.forwarded || f.req.trialVersion != "" || f.soughtPlace {
		return peer{}, false
	}
	f.soughtPlace = true
	nodes := append(n.roster.Others(), n.initial.Node)
	servers := n.upstreams.candidatesOf(f.req.service, f.req.origin.Version, f.excluded)
	owners := slices.DeleteFunc(n.peersFor(f.req.service, f.triedPeers), func(p peer) bool {
		return !slices.ContainsFunc(servers, func(c candidate) bool { return placesAt(p.node, nodes, c.id, c.slots, 0).own > 0 })
	})
	return bestPeer(owners)
}

// recentRejections returns how many requests of this node the server has rejected within
// rejectionWindow. The caller holds the pool's lock.
func (s *upstream) recentRejections(now time.Time) int {
	s.rejectedAt = slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) > rejectionWindow })
	return len(s.rejectedAt)
}

// learnedPlaces returns how many requests of this node the server is expected to have room for:
// its places, or after a rejection as many as it had then, and more again with time. The caller
// holds the pool's lock.
func (s *upstream) learnedPlaces(own int, now time.Time) int {
	if s.roomAt.IsZero() {
		return own
	}
	room := float64(s.room) + placeRecovery*now.Sub(s.roomAt).Seconds()
	return min(own, int(room))
}

// recordBrittleRejection records that a server has rejected a request of this node, which is
// still counted among those in progress. The caller holds the pool's lock.
func (s *upstream) recordBrittleRejection(now time.Time) {
	s.rejectedAt = append(s.rejectedAt, now)
	s.room, s.roomAt = max(s.requests-1-s.unconfirmed, 0), now
}

// reportBrittle returns what servers have said about falling over, for this node's record.
func (n *Node) reportBrittle() []*cluster.BrittleServer {
	var out []*cluster.BrittleServer
	for _, s := range n.upstreams.brittleServers(n.clusterTime()) {
		out = append(out, &cluster.BrittleServer{Server: s.id, StartedMs: s.startedMS, Brittle: s.brittle.brittle, Rejections: int32(s.brittle.rejections), AtUs: s.brittle.at.UnixMicro()})
	}
	return out
}

// brittleServers returns copies of the servers to report, the latest news first.
func (p *upstreamPool) brittleServers(agreed time.Time) []upstreamBrittleness {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []upstreamBrittleness
	for _, s := range p.byID {
		if !s.brittle.at.IsZero() && agreed.Sub(s.brittle.at) < brittleMemory {
			out = append(out, upstreamBrittleness{s.id, s.startedMS, s.brittle})
		}
	}
	slices.SortFunc(out, func(a, b upstreamBrittleness) int { return b.brittle.at.Compare(a.brittle.at) })
	return out[:min(len(out), maxReportedBrittle)]
}

// upstreamBrittleness is the brittleness of one run of a server.
type upstreamBrittleness struct {
	id        string
	startedMS int64
	brittle   brittleness
}

// mergeBrittle takes over what other nodes report.
func (n *Node) mergeBrittle(list []*cluster.BrittleServer) {
	for _, in := range list {
		if s := n.upstreams.running(in.Server, in.StartedMs); s != nil {
			n.upstreams.setBrittle(s, brittleness{brittle: in.Brittle, rejections: int(in.Rejections), at: time.UnixMicro(in.AtUs)})
		}
	}
}
