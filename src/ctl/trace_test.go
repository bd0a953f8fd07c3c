package ctl

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// formatLine returns a line in the format of klog.
func formatLine(second float64, event, keys string) string {
	return fmt.Sprintf("I1202 10:00:%09.6f    4242 forward.go:228] %q %s", second, event, keys)
}

func traceOf(t *testing.T, id string, logs map[string][]string) requestTrace {
	t.Helper()
	var all []logLine
	for source, lines := range logs {
		parsed, err := parseLog(strings.NewReader(strings.Join(lines, "\n")), source)
		is.New(t).NoErr(err)
		all = append(all, parsed...)
	}
	return newTrace(id, all)
}

func TestTraceOfRequestOverQuota(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(1, "refused", `id="r1" status=429 code="quota" wait_ms=444 version=7`),
		formatLine(2, "refused", `id="r2" status=503 code="servers_full" wait_ms=150 version=7`),
	}})
	is.Equal(len(trace.lines), 1)
	is.True(strings.Contains(trace.conclusion, "limit over all nodes"))
	is.True(strings.Contains(trace.conclusion, "444 ms"))
}

func TestTraceOfRequestWithUnknownFate(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{
		"node-1": {
			formatLine(3, "refused", `id="r1" status=502 code="fate_unknown" wait_ms=0 version=7`),
			formatLine(2.9, "request", `id="r1" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=40 err="read: connection reset by peer"`),
		},
		"node-2": {
			formatLine(4, "request", `id="r8" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=9 err="EOF"`),
			formatLine(4.5, "server_left", `server="i-7" by="answer"`),
			formatLine(30, "request", `id="r9" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=9 err="EOF"`),
		},
	})
	is.Equal(trace.lines[0].event, "request") // sorted by time, not in the order of the logs
	is.True(strings.Contains(trace.conclusion, "may have run"))
	is.True(strings.Contains(trace.conclusion, "i-7: read: connection reset by peer"))
	nearby := strings.Join(trace.nearby, "\n")
	is.True(strings.Contains(nearby, "other requests failed at i-7 (1 times")) // r9, 27 s later, is outside the window
	is.True(strings.Contains(nearby, "nodes saw that i-7 had left"))
}

func TestTraceOfStreamCutMidway(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(2, "request", `id="r1" what="failed" server="i-7" route="notes" kind="stream" sends=1 runs=1 events=12 after_ms=900 err="answer ended before its end"`),
		formatLine(2, "request", `id="r1" what="broken_off" server="" route="notes" kind="stream" sends=1 runs=1 events=12 after_ms=900 err=null`),
		formatLine(3, "started", `node="node-1" callers="10.0.0.1:80"`),
	}})
	is.True(strings.Contains(trace.conclusion, "cut after 12 events"))
	is.True(strings.Contains(trace.conclusion, "answer ended before its end"))
	is.True(strings.Contains(strings.Join(trace.nearby, "\n"), "its node restarted"))
}

func TestTraceOfQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(2, "refused", `id="r1" status=503 code="crashes_servers" wait_ms=0 version=7 digest="00ff" crashes=3 servers="i-1,i-2,i-3" trials=0`),
	}})
	is.True(strings.Contains(trace.conclusion, "not run"))
	is.True(strings.Contains(trace.conclusion, "crashed 3 servers (i-1,i-2,i-3)"))
	is.True(strings.Contains(trace.conclusion, "digest 00ff"))
}

func TestTraceOfRequestBeyondServerLimits(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(2, "refused", `id="r1" status=503 code="servers_limited" wait_ms=750 version=7`),
	}})
	is.True(strings.Contains(trace.conclusion, "named a limit"))
	is.True(strings.Contains(trace.conclusion, "750 ms"))
}

func TestTraceOfRequestWhileAllServersRest(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(1, "request", `id="r1" what="failed" server="i-1" route="book" kind="once" sends=1 runs=0 events=0 after_ms=2 err="server refused the request (status 503, Retry-After [\"3\"])"`),
		formatLine(2, "refused", `id="r1" status=503 code="servers_resting" wait_ms=3100 version=7`),
	}})
	is.True(strings.Contains(trace.conclusion, "asked its node for rest"))
	is.True(strings.Contains(trace.conclusion, "3100 ms"))
}

func TestTraceOfRequestAtNodeThatReachesNoServer(t *testing.T) {
	is := is.New(t)
	refused := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(2, "refused", `id="r1" status=503 code="servers_unreachable" after_ms=1 wait_ms=900 version=7`),
	}})
	is.True(strings.Contains(refused.conclusion, "could not connect"))
	is.True(strings.Contains(refused.conclusion, "900 ms"))
	served := traceOf(t, "r1", map[string][]string{"node-1": {
		formatLine(2, "request", `id="r1" what="forwarded" server="node-2" route="book" kind="once" sends=0 runs=1 events=0 after_ms=9 err=null`),
	}})
	is.True(strings.Contains(served.conclusion, "through node node-2"))
}

func TestTraceOfUnloggedRequest(t *testing.T) {
	is := is.New(t)
	trace := traceOf(t, "r1", map[string][]string{"node-1": {"not a klog line", formatLine(1, "refused", `id="r10" status=429 code="quota"`)}})
	is.Equal(len(trace.lines), 0)
	is.True(strings.Contains(trace.conclusion, "no log line has this id"))
}

func TestParseLogReadsSourceBeforeHeader(t *testing.T) {
	is := is.New(t)
	lines, err := parseLog(strings.NewReader("  12.5 front-1 "+formatLine(1, "started", `node="front-1"`)), "all.log")
	is.NoErr(err)
	is.Equal(lines[0].source, "front-1")
	var out bytes.Buffer
	requestTrace{lines: lines, conclusion: "well"}.print(&out)
	is.True(strings.Contains(out.String(), "front-1 started"))
}
