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

// nearby is the time around a request's lines in which other lines may explain it.
const nearby = 5 * time.Second

// logLine is one structured line of a process's log.
type logLine struct {
	at     time.Time // of the day; logs bear no year
	source string    // whose log it is
	event  string
	keys   map[string]string
	text   string // the keys as they were written
}

var (
	logHeader = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ \S+\] "([^"]+)"(.*)$`)
	logKey    = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseLog reads the structured lines of a log and leaves out all others. What
// stands before a line's header names the source, if anything does.
func parseLog(log io.Reader, source string) ([]logLine, error) {
	var out []logLine
	scan := bufio.NewScanner(log)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		found := logHeader.FindStringSubmatchIndex(scan.Text())
		if found == nil {
			continue
		}
		text := scan.Text()
		at, err := time.Parse("0102 15:04:05.000000", text[found[2]:found[3]])
		if err != nil {
			continue
		}
		line := logLine{at: at, source: source, event: text[found[4]:found[5]], text: strings.TrimSpace(text[found[6]:found[7]]), keys: map[string]string{}}
		if before := strings.Fields(text[:found[0]]); len(before) > 0 {
			line.source = before[len(before)-1]
		}
		for _, key := range logKey.FindAllStringSubmatch(line.text, -1) {
			line.keys[key[1]] = strings.Trim(key[2], `"`)
		}
		out = append(out, line)
	}
	return out, scan.Err()
}

// story is what logs tell of one request.
type story struct {
	lines      []logLine // its own, in order
	around     []string  // what else happened that bears on it
	conclusion string
}

// tell finds the story of a request in the lines of all processes.
func tell(id string, all []logLine) story {
	var s story
	for _, line := range all {
		if line.keys["id"] == id {
			s.lines = append(s.lines, line)
		}
	}
	if len(s.lines) == 0 {
		s.conclusion = "no line names it: it went well at its first server, its client left before it was read, or its node was killed (look for started lines)"
		return s
	}
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	s.around = aroundOf(id, s.lines, all)
	s.conclusion = conclude(s.lines)
	return s
}

// aroundOf counts what happened near a request's lines at its node and servers.
func aroundOf(id string, own, all []logLine) []string {
	var out []string
	first, last := own[0], own[len(own)-1]
	counts := map[string]int{}
	for _, line := range all {
		if line.at.Before(first.at.Add(-nearby)) || line.at.After(last.at.Add(nearby)) {
			continue
		}
		server := line.keys["server"]
		if server == "" || !slices.ContainsFunc(own, func(o logLine) bool { return o.keys["server"] == server }) {
			server = ""
		}
		switch {
		case line.event == "started" && line.source == first.source && line.at.After(first.at):
			counts["its node began anew"]++
		case line.event == "stopping" && line.source == first.source:
			counts["its node was told to stop"]++
		case line.event == "server_left" && server != "":
			counts["nodes saw that "+server+" had left"]++
		case line.event == "request" && server != "" && line.keys["id"] != id && line.keys["what"] == "failed":
			counts["other requests failed at "+server]++
		case line.event == "configuration" && line.source == first.source:
			counts["configurations came into force at its node"]++
		}
	}
	for what, count := range counts {
		out = append(out, fmt.Sprintf("%s (%d times within %s)", what, count, nearby))
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// conclude says what became of a request, from its own lines in order.
func conclude(own []logLine) string {
	last := own[len(own)-1]
	failed := last
	for _, line := range own {
		if line.event == "request" && line.keys["what"] == "failed" {
			failed = line
		}
	}
	at := fmt.Sprintf("server %s: %s", failed.keys["server"], failed.keys["err"])
	switch {
	case last.event == "refused" && last.keys["code"] == "quota":
		return "refused, not run: its customer's limit over all nodes was used up; told to come back in " + last.keys["wait_ms"] + " ms"
	case last.event == "refused" && last.keys["code"] == "fate_unknown":
		return "may have run: it was sent and no answer says what became of it, so it was not sent again (" + at + ")"
	case last.event == "refused" && last.keys["code"] == "time_limit":
		return "the time limit of its route or its deadline passed (" + at + ")"
	case last.event == "refused":
		return "refused with " + last.keys["status"] + ", " + last.keys["code"] + " (" + at + ")"
	case last.keys["what"] == "broken_off" && count(last, "events") > 0:
		return "its stream was cut after " + last.keys["events"] + " events (" + at + ")"
	case last.keys["what"] == "broken_off":
		return "its client left, or its connection was cut, before any answer (" + at + ")"
	case last.keys["what"] == "answered":
		return fmt.Sprintf("answered after %s sends, of which %s may have run", last.keys["sends"], last.keys["runs"])
	}
	return "its last line is " + last.event + "; what followed was not logged"
}

func count(line logLine, key string) int {
	n, err := strconv.Atoi(line.keys[key])
	if err != nil {
		return 0
	}
	return n
}

// print writes the story for a reader.
func (s story) print(w io.Writer) {
	for _, line := range s.lines {
		_, _ = fmt.Fprintf(w, "%s %s %s %s\n", line.at.Format("15:04:05.000"), line.source, line.event, line.text)
	}
	for _, fact := range s.around {
		_, _ = fmt.Fprintln(w, "around it:", fact)
	}
	_, _ = fmt.Fprintln(w, "conclusion:", s.conclusion)
}
