package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/quarantine"
	"github.com/crankridge/crankridge/src/request"
)

// Limits of the exchange of suspected requests with peers and the store.
const (
	quarantinePrefix   = ownPrefix + "quarantine/" // followed by the digest; the values are quarantine.State
	maxReportedCrashes = 24                        // in this node's record
	maxInterruptions   = 12                        // in this node's record
	maxStoreWrites     = 8                         // per step
	quarantineTimeout  = 300 * time.Millisecond    // of one write
	heldRetryAfter     = time.Second               // of a request whose interruptions are not explained yet
	verdictDelay       = 2 * time.Second           // after a node has heard of a crash, in which it hears of completions elsewhere, over hubs as well
)

// checkQuarantine refuses a request that crashes servers, or may do so until that is known. A
// trial of a quarantined request is let pass if it is due and this node wins it.
func (n *Node) checkQuarantine(req *clientRequest) *refusal {
	decision := n.decide(req)
	if decision.Held {
		return n.heldRefusal(req, heldRetryAfter)
	}
	if !decision.Quarantined || n.claimTrial(req, decision.Cause) {
		return nil
	}
	return n.quarantineRefusal(req, decision.Cause)
}

// heldRefusal refuses a request until it is known whether it crashes servers.
func (n *Node) heldRefusal(req *clientRequest, wait time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: codeCrashesUnclear, retryAfter: request.JitterUp(wait), logValues: []any{"digest", req.requestDigest()}}
}

// quarantineRefusal refuses a request that is quarantined, or a part of it: cause. It has no
// Retry-After once the quarantine is certain: the request would be refused again. Right after a
// crash a completion elsewhere may still clear it.
func (n *Node) quarantineRefusal(req *clientRequest, cause quarantine.Digest) *refusal {
	state := n.quarantine.Get(cause)
	if left := verdictDelay - n.quarantine.SinceCrash(cause); left > 0 && len(state.Trials) == 0 {
		return n.heldRefusal(req, left)
	}
	var servers []string
	for _, c := range state.Crashes {
		servers = append(servers, c.Server)
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeCrashesServers,
		logValues: []any{"digest", state.Digest, "part", state.IsPart, "crashes", len(servers), "servers", strings.Join(servers, ","), "trials", len(state.Trials)}}
}

// finishQuarantined ends a request that has become quarantined since it arrived.
func (f *forwarder) finishQuarantined(ctx context.Context, cause quarantine.Digest) *refusal {
	refused := f.finish(ctx, codeCrashesServers, 0)
	if refused != nil && refused.code == codeCrashesServers {
		return f.node.quarantineRefusal(f.req, cause)
	}
	return refused
}

// finishHeld ends a request that must not be sent until it is known whether it crashes servers.
func (f *forwarder) finishHeld(ctx context.Context) *refusal {
	return f.finish(ctx, codeCrashesUnclear, request.JitterUp(heldRetryAfter))
}

// claimTrial reports whether this node may send a request once more that is quarantined, or a
// part of it: digest. The store decides, so that no two nodes try the same.
func (n *Node) claimTrial(req *clientRequest, digest quarantine.Digest) bool {
	if req.takesUpStream() {
		return false // it is bound to a version
	}
	for _, version := range n.upstreams.versions(req.service) {
		if !n.quarantine.TrialDue(digest, version, n.clusterTime()) {
			continue
		}
		trial, ok := n.quarantine.WithTrial(digest, version)
		if !ok {
			return false
		}
		ctx, cancel := context.WithTimeout(req.request.Context(), quarantineTimeout)
		defer cancel()
		granted := n.writeSuspect(ctx, trial)
		klog.InfoS("quarantine_trial", "id", req.id, "digest", digest, "version", version, "granted", granted)
		if granted {
			req.trialVersion = version
		}
		return granted
	}
	return false
}

// decide returns how the request is to be treated.
func (n *Node) decide(req *clientRequest) quarantine.Decision {
	if !n.quarantine.Active() {
		return quarantine.Decision{}
	}
	return n.quarantine.Decide(req.features())
}

// mayHaveCrashed reports whether a send ended like that of a server that crashed, or
// was given up while the server was silent.
func (f *forwarder) mayHaveCrashed(ctx context.Context, err error) bool {
	switch {
	case err == nil || !f.executed || errors.Is(err, errServerFailed) || errors.Is(err, errResponseMismatch) || errors.Is(err, errNoRequestID) || errors.Is(err, conn.ErrMalformed):
		return false
	case ctx.Err() != nil:
		return clock.Since(f.progressAt) > stalledResponse
	}
	return true
}

// checkCrash records a crash for the request if the server crashed while it ran there. It
// waits a moment for the result, so that a resend can take it into account, and reports
// whether the server is gone.
func (f *forwarder) checkCrash(ctx context.Context, s *upstream) (gone bool) {
	n := f.node
	check := n.crashes.check(s)
	failedAt := clock.Now()
	crash := quarantine.Crash{Server: s.id, Version: s.version, StartedMS: s.startedMS, SentAt: n.members.AgreedTime(f.sentAt), EndedAt: n.members.AgreedTime(failedAt)}
	interruption := quarantine.Interruption{Digest: f.req.requestDigest(), Parts: f.req.partDigests(), Server: s.id, StartedMS: s.startedMS, SentAt: crash.SentAt, EndedAt: crash.EndedAt}
	n.quarantine.Interrupt(interruption)
	n.peers.TriggerUrgentExchange()
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		defer n.quarantine.Explain(interruption)
		<-check.probed
		if check.unreachable.Load() {
			n.quarantine.SetUnreachable(interruption, true)
			n.peers.TriggerUrgentExchange()
		}
		<-check.judged
		if !check.unreachable.Load() {
			n.quarantine.SetUnreachable(interruption, false)
		}
		<-check.done
		if at, ok := check.crashTime(n.upstreams, s, failedAt, crash.EndedAt); ok {
			crash.At = at
			n.recordCrash(f.req, crash)
		}
	}()
	select {
	case <-check.probed:
	case <-ctx.Done():
	case <-time.After(crashWait):
	}
	if check.crashed.Load() {
		<-recorded
		return true
	}
	return check.unreachable.Load()
}

func (n *Node) recordCrash(req *clientRequest, crash quarantine.Crash) {
	decision := n.quarantine.RecordCrashOf(req.features(), crash)
	klog.InfoS("suspected", "id", req.id, "digest", req.requestDigest(), "parts", len(req.parts), "server", crash.Server, "crashes", decision.Crashes, "quarantined", decision.Quarantined, "cause", decision.Cause)
	n.metrics.Crash(req.service, decision.Quarantined)
	n.peers.TriggerUrgentExchange()
}

// recordCompletion records that a server ran a request to its end.
func (n *Node) recordCompletion(req *clientRequest) {
	if n.quarantine.CompleteAll(req.features(), n.clusterTime()) {
		klog.InfoS("suspicion_cleared", "id", req.id, "digest", req.requestDigest())
		n.peers.TriggerUrgentExchange()
	}
}

// applySuspects takes over the suspected requests in the store.
func (n *Node) applySuspects() {
	complete, _ := n.view.Complete()
	var list []quarantine.Stored
	for _, it := range n.view.List(quarantinePrefix) {
		if stored, ok := decodeSuspect(it); ok {
			list = append(list, stored)
		}
	}
	n.storedSuspects.Store(&list)
	n.quarantine.ApplyStored(list, complete)
}

// decodeSuspect logs an item that is not a suspected request.
func decodeSuspect(it ports.Item) (quarantine.Stored, bool) {
	digest, err := quarantine.ParseDigest(strings.TrimPrefix(it.Key, quarantinePrefix))
	if err != nil {
		klog.ErrorS(err, "suspect_entry_unusable", "key", it.Key, "revision", it.Revision)
		return quarantine.Stored{}, false
	}
	state, err := quarantine.DecodeState(digest, it.Value)
	if err != nil {
		klog.ErrorS(err, "suspect_entry_unusable", "key", it.Key, "revision", it.Revision)
		return quarantine.Stored{}, false
	}
	return quarantine.Stored{State: state, Revision: it.Revision}, true
}

// storeSuspects writes to the store what it lacks.
func (n *Node) storeSuspects(ctx context.Context) {
	for _, s := range n.quarantine.Unstored(maxStoreWrites) {
		ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		_ = n.writeSuspect(ctx, s) // the next step tries again
		cancel()
	}
}

// writeSuspect writes a state to the store if its key is still at the given revision,
// and reports whether it did. Otherwise the newer state is taken over.
func (n *Node) writeSuspect(ctx context.Context, s quarantine.Stored) bool {
	var remove []string
	if stored := n.storedSuspects.Load(); stored != nil && s.Revision == 0 {
		for _, digest := range quarantine.ToRemove(*stored) {
			remove = append(remove, quarantinePrefix+digest.String())
		}
	}
	result, err := n.store.PutIf(ctx, quarantinePrefix+s.State.Digest.String(), s.State.Encode(), s.Revision, 0, remove...)
	if err != nil {
		klog.InfoS("suspect_not_stored", "digest", s.State.Digest, "err", err)
		return false
	}
	if !result.Succeeded {
		current := quarantine.Stored{State: quarantine.State{Digest: s.State.Digest}}
		if result.Current.Revision != 0 {
			if decoded, ok := decodeSuspect(result.Current); ok {
				current = decoded
			}
		}
		n.quarantine.Conflict(current)
		return false
	}
	s.Revision = result.Revision
	n.quarantine.Written(s)
	return true
}

// reportSuspects returns the suspected requests for this node's record.
func (n *Node) reportSuspects() []*cluster.Suspect {
	var out []*cluster.Suspect
	for _, state := range n.quarantine.Report(maxReportedCrashes) {
		suspect := &cluster.Suspect{Digest: state.Digest[:], Part: state.IsPart}
		suspect.ClearedThroughMs = unixMilli(state.ClearedThrough)
		for _, c := range state.Crashes {
			suspect.Crashes = append(suspect.Crashes, &cluster.Crash{Server: c.Server, Version: c.Version, StartedMs: c.StartedMS, SentMs: c.SentAt.UnixMilli(), AtMs: c.At.UnixMilli(), EndedMs: unixMilli(c.EndedAt), Tag: c.Tag})
		}
		out = append(out, suspect)
	}
	return out
}

// mergeSuspects adds the suspected requests that other nodes report.
func (n *Node) mergeSuspects(list []*cluster.Suspect) {
	var states []quarantine.State
	for _, in := range list {
		digest, err := quarantine.DigestFromBytes(in.Digest)
		if err != nil {
			klog.ErrorS(err, "suspect_report_unusable")
			continue
		}
		state := quarantine.State{Digest: digest, IsPart: in.Part, ClearedThrough: timeOfMilli(in.ClearedThroughMs)}
		for _, c := range in.Crashes {
			state.Crashes = append(state.Crashes, quarantine.Crash{Server: c.Server, Version: c.Version, StartedMS: c.StartedMs, SentAt: time.UnixMilli(c.SentMs), At: time.UnixMilli(c.AtMs), EndedAt: timeOfMilli(c.EndedMs), Tag: c.Tag})
		}
		states = append(states, state)
	}
	n.quarantine.Merge(states)
}

// reportInterruptions returns this node's interruptions for its record.
func (n *Node) reportInterruptions() []*cluster.Interruption {
	var out []*cluster.Interruption
	for _, i := range n.quarantine.Interruptions(maxInterruptions) {
		out = append(out, &cluster.Interruption{Digest: i.Digest[:], Parts: encodeDigests(i.Parts), Server: i.Server, StartedMs: i.StartedMS, SentMs: i.SentAt.UnixMilli(), EndedMs: i.EndedAt.UnixMilli(), Unreachable: i.Unreachable})
	}
	return out
}

// applyReports takes over what the other nodes, or a hub, report of suspected requests.
func (n *Node) applyReports() {
	var reported []*cluster.Interruption
	if summary, _, _, ok := n.members.Summary(); ok && !n.peers.IsHub() {
		n.mergeSuspects(summary.Suspects)
		reported = summary.Interruptions
	}
	for _, m := range n.members.All() {
		if m.Record.Node == n.initial.Node {
			continue
		}
		n.mergeSuspects(m.Record.Suspects)
		if n.members.Age(m) < interruptionMaxAge {
			reported = append(reported, m.Record.Interruptions...)
		}
	}
	n.quarantine.SetReported(decodeInterruptions(reported))
}

// interruptionMaxAge is the age up to which the interruptions of a node's record are used.
const interruptionMaxAge = 2 * time.Second

func decodeInterruptions(list []*cluster.Interruption) []quarantine.Interruption {
	out := make([]quarantine.Interruption, 0, len(list))
	for _, in := range list {
		digest, err := quarantine.DigestFromBytes(in.Digest)
		if err != nil {
			klog.ErrorS(err, "interruption_report_unusable")
			continue
		}
		out = append(out, quarantine.Interruption{Digest: digest, Parts: decodeDigests(in.Parts), Server: in.Server, StartedMS: in.StartedMs, SentAt: time.UnixMilli(in.SentMs), EndedAt: time.UnixMilli(in.EndedMs), Unreachable: in.Unreachable})
	}
	return out
}

func encodeDigests(list []quarantine.Digest) (out [][]byte) {
	for _, digest := range list {
		out = append(out, digest[:])
	}
	return out
}

func decodeDigests(list [][]byte) (out []quarantine.Digest) {
	for _, raw := range list {
		digest, err := quarantine.DigestFromBytes(raw)
		if err != nil {
			klog.ErrorS(err, "interruption_report_unusable")
			continue
		}
		out = append(out, digest)
	}
	return out
}

// unixMilli returns a time in Unix ms, 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeOfMilli is the reverse of unixMilli.
func timeOfMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
