package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// nearbyWindow is how long before and after a request's log lines other lines are
// considered related to it.
const nearbyWindow = 5 * time.Second

// logLine is a structured klog line.
type logLine struct {
	time   time.Time // without a year, which klog does not write
	source string    // process that wrote the line
	event  string
	fields map[string]string
	text   string // the fields as logged
}

var (
	logHeader = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ \S+\] "([^"]+)"(.*)$`)
	logField  = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseLog returns the structured lines of a log and skips all others. The last
// word before a line's klog header, if any, overrides the source.
func parseLog(log io.Reader, source string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := logHeader.FindStringSubmatchIndex(scanner.Text())
		if match == nil {
			continue
		}
		text := scanner.Text()
		logged, err := time.Parse("0102 15:04:05.000000", text[match[2]:match[3]])
		if err != nil {
			continue
		}
		line := logLine{time: logged, source: source, event: text[match[4]:match[5]], text: strings.TrimSpace(text[match[6]:match[7]]), fields: map[string]string{}}
		if prefix := strings.Fields(text[:match[0]]); len(prefix) > 0 {
			line.source = prefix[len(prefix)-1]
		}
		for _, field := range logField.FindAllStringSubmatch(line.text, -1) {
			line.fields[field[1]] = strings.Trim(field[2], `"`)
		}
		out = append(out, line)
	}
	return out, scanner.Err()
}

// requestTrace is what the logs say about one request.
type requestTrace struct {
	lines      []logLine // the request's own lines, in order of time
	nearby     []string  // related events from other lines
	conclusion string
}

// newTrace builds the trace of a request from the log lines of all processes.
func newTrace(id string, all []logLine) requestTrace {
	var trace requestTrace
	for _, line := range all {
		if line.fields["id"] == id {
			trace.lines = append(trace.lines, line)
		}
	}
	if len(trace.lines) == 0 {
		trace.conclusion = "no log line has this id: the request succeeded at its first server, its client disconnected before it was read, or its node was killed (look for a later \"started\" line of the node)"
		return trace
	}
	slices.SortStableFunc(trace.lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	trace.nearby = nearbyEvents(id, trace.lines, all)
	trace.conclusion = conclude(trace.lines)
	return trace
}

// nearbyEvents counts related events on the request's node and servers within
// nearbyWindow.
func nearbyEvents(id string, lines, all []logLine) []string {
	var out []string
	first, last := lines[0], lines[len(lines)-1]
	counts := map[string]int{}
	for _, line := range all {
		if line.time.Before(first.time.Add(-nearbyWindow)) || line.time.After(last.time.Add(nearbyWindow)) {
			continue
		}
		server := line.fields["server"]
		if server == "" || !slices.ContainsFunc(lines, func(o logLine) bool { return o.fields["server"] == server }) {
			server = ""
		}
		switch {
		case line.event == "started" && line.source == first.source && line.time.After(first.time):
			counts["its node restarted"]++
		case line.event == "stopping" && line.source == first.source:
			counts["its node was shutting down"]++
		case line.event == "server_left" && server != "":
			counts["nodes saw that "+server+" had left"]++
		case line.event == "request" && server != "" && line.fields["id"] != id && line.fields["what"] == "failed":
			counts["other requests failed at "+server]++
		case line.event == "configuration" && line.source == first.source:
			counts["configuration changes at its node"]++
		}
	}
	for event, count := range counts {
		out = append(out, fmt.Sprintf("%s (%d times within %s)", event, count, nearbyWindow))
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// conclude derives the outcome of a request from its own lines, in order of time.
func conclude(lines []logLine) string {
	last := lines[len(lines)-1]
	failed := last
	for _, line := range lines {
		if line.event == "request" && line.fields["what"] == "failed" {
			failed = line
		}
	}
	failure := fmt.Sprintf("server %s: %s", failed.fields["server"], failed.fields["err"])
	switch {
	case last.event == "refused" && last.fields["code"] == "quota":
		return "refused, not run: the customer's limit over all nodes was reached; retry after " + last.fields["wait_ms"] + " ms"
	case last.event == "refused" && last.fields["code"] == "fate_unknown":
		return "may have run: it was sent but its outcome is unknown, so it was not retried (" + failure + ")"
	case last.event == "refused" && last.fields["code"] == "time_limit":
		return "the time limit of the route or the deadline of the request expired (" + failure + ")"
	case last.event == "refused" && last.fields["code"] == "crashes_servers":
		return "refused, not run: earlier attempts of the same request crashed " + last.fields["crashes"] + " servers (" + last.fields["servers"] + "); search the logs for \"suspected\" lines with its digest " + last.fields["digest"]
	case last.event == "refused" && last.fields["code"] == "servers_limited":
		return "refused: all servers that could take it have named a limit or are brittle, and this node's shares of them were used up; retry after " + last.fields["wait_ms"] + " ms (see \"server_limit\" and \"server_brittle\" lines)"
	case last.event == "refused" && last.fields["code"] == "servers_unreachable":
		return "refused: its node could not connect to any server that could take it, and knew no other node that could; retry after " + last.fields["wait_ms"] + " ms (see \"service_reach\" lines)"
	case last.event == "refused" && last.fields["code"] == "servers_resting":
		return "refused, not run: all servers that could take it have asked its node for rest; retry after " + last.fields["wait_ms"] + " ms (see \"server_rest\" lines)"
	case last.event == "refused":
		return "refused with " + last.fields["status"] + ", " + last.fields["code"] + " (" + failure + ")"
	case last.fields["what"] == "broken_off" && intField(last, "events") > 0:
		return "its stream was cut after " + last.fields["events"] + " events (" + failure + ")"
	case last.fields["what"] == "broken_off":
		return "its client disconnected, or its connection was lost, before any response (" + failure + ")"
	case last.fields["what"] == "forwarded":
		return "served through node " + last.fields["server"] + ", as its own node could not connect to the servers (see \"service_reach\" lines)"
	case last.fields["what"] == "answered":
		return fmt.Sprintf("answered after %s sends, of which %s may have run", last.fields["sends"], last.fields["runs"])
	}
	return "its last log line is " + last.event + "; the outcome was not logged"
}

// intField returns 0 if the field is missing or not a number.
func intField(line logLine, key string) int {
	n, err := strconv.Atoi(line.fields[key])
	if err != nil {
		return 0
	}
	return n
}

// print writes the trace as text.
func (t requestTrace) print(w io.Writer) {
	for _, line := range t.lines {
		_, _ = fmt.Fprintf(w, "%s %s %s %s\n", line.time.Format("15:04:05.000"), line.source, line.event, line.text)
	}
	for _, event := range t.nearby {
		_, _ = fmt.Fprintln(w, "around it:", event)
	}
	_, _ = fmt.Fprintln(w, "conclusion:", t.conclusion)
}
