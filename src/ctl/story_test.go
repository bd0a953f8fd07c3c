package ctl

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// aLine is a line as klog writes it.
func aLine(second float64, event, keys string) string {
	return fmt.Sprintf("I1202 10:00:%09.6f    4242 forward.go:228] %q %s", second, event, keys)
}

func storyOf(t *testing.T, id string, logs map[string][]string) story {
	t.Helper()
	var all []logLine
	for source, lines := range logs {
		parsed, err := parseLog(strings.NewReader(strings.Join(lines, "\n")), source)
		is.New(t).NoErr(err)
		all = append(all, parsed...)
	}
	return tell(id, all)
}

func TestStoryOfARequestOverItsLimit(t *testing.T) {
	is := is.New(t)
	s := storyOf(t, "r1", map[string][]string{"node-1": {
		aLine(1, "refused", `id="r1" status=429 code="quota" wait_ms=444 version=7`),
		aLine(2, "refused", `id="r2" status=503 code="servers_full" wait_ms=150 version=7`),
	}})
	is.Equal(len(s.lines), 1)
	is.True(strings.Contains(s.conclusion, "limit over all nodes"))
	is.True(strings.Contains(s.conclusion, "444 ms"))
}

func TestStoryOfARequestWhoseFateIsUnknown(t *testing.T) {
	is := is.New(t)
	s := storyOf(t, "r1", map[string][]string{
		"node-1": {
			aLine(3, "refused", `id="r1" status=502 code="fate_unknown" wait_ms=0 version=7`),
			aLine(2.9, "request", `id="r1" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=40 err="read: connection reset by peer"`),
		},
		"node-2": {
			aLine(4, "request", `id="r8" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=9 err="EOF"`),
			aLine(4.5, "server_left", `server="i-7" by="answer"`),
			aLine(30, "request", `id="r9" what="failed" server="i-7" route="book" kind="once" sends=1 runs=1 events=0 after_ms=9 err="EOF"`),
		},
	})
	is.Equal(s.lines[0].event, "request") // in order of time, whatever the order of the logs
	is.True(strings.Contains(s.conclusion, "may have run"))
	is.True(strings.Contains(s.conclusion, "i-7: read: connection reset by peer"))
	around := strings.Join(s.around, "\n")
	is.True(strings.Contains(around, "other requests failed at i-7 (1 times")) // not the one 27 s later
	is.True(strings.Contains(around, "nodes saw that i-7 had left"))
}

func TestStoryOfAStreamCutMidway(t *testing.T) {
	is := is.New(t)
	s := storyOf(t, "r1", map[string][]string{"node-1": {
		aLine(2, "request", `id="r1" what="failed" server="i-7" route="notes" kind="stream" sends=1 runs=1 events=12 after_ms=900 err="answer ended before its end"`),
		aLine(2, "request", `id="r1" what="broken_off" server="" route="notes" kind="stream" sends=1 runs=1 events=12 after_ms=900 err=null`),
		aLine(3, "started", `node="node-1" callers="10.0.0.1:80"`),
	}})
	is.True(strings.Contains(s.conclusion, "cut after 12 events"))
	is.True(strings.Contains(s.conclusion, "answer ended before its end"))
	is.True(strings.Contains(strings.Join(s.around, "\n"), "its node began anew"))
}

func TestStoryOfARequestThatNoLineNames(t *testing.T) {
	is := is.New(t)
	s := storyOf(t, "r1", map[string][]string{"node-1": {"not a line of ours", aLine(1, "refused", `id="r10" status=429 code="quota"`)}})
	is.Equal(len(s.lines), 0)
	is.True(strings.Contains(s.conclusion, "no line names it"))
}

func TestTheSourceMayStandBeforeALine(t *testing.T) {
	is := is.New(t)
	lines, err := parseLog(strings.NewReader("  12.5 front-1 "+aLine(1, "started", `node="front-1"`)), "all.log")
	is.NoErr(err)
	is.Equal(lines[0].source, "front-1")
	var out bytes.Buffer
	story{lines: lines, conclusion: "well"}.print(&out)
	is.True(strings.Contains(out.String(), "front-1 started"))
}
