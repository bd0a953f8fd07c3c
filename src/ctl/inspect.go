package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/crankridge/crankridge/src/caller"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/operator"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/upstream"
)

type watchCmd struct {
	From int64 `help:"Version to start after; defaults to the current version."`
}

// Run prints changes until interrupted. A broken watch is resumed after the last
// version received.
func (c *watchCmd) Run(g *globals) error {
	from := c.From
	if from == 0 {
		var list []any
		header, err := g.getJSON("/v1/resources/events", &list)
		if err != nil {
			return err
		}
		from, _ = strconv.ParseInt(header.Get("Crankridge-Revision"), 10, 64)
	}
	for {
		for _, addr := range g.Control {
			last, err := g.watchAt(addr, from)
			if err != nil {
				return err
			}
			from = max(from, last)
		}
		time.Sleep(time.Second)
	}
}

// watchAt prints changes from one address until the watch breaks and returns the
// last version received.
func (g *globals) watchAt(addr string, from int64) (int64, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/watch?from="+strconv.FormatInt(from, 10), nil)
	if err != nil {
		return from, err
	}
	req.Header.Set("Authorization", "Bearer "+g.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return from, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var p operator.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		return from, exitErrorf(exitFailed, "%s (%d); %s", p.Error, resp.StatusCode, p.Hint)
	}
	dec := json.NewDecoder(resp.Body)
	for {
		var ch operator.Change
		if dec.Decode(&ch) != nil {
			return from, nil
		}
		from = ch.Version
		switch {
		case ch.Type == operator.TypeBookmark:
		case ch.Status != nil:
			fmt.Printf("%d event/%s %s %s\n", ch.Version, ch.Name, ch.Status.Phase, strings.Join(ch.Status.Reasons, "; "))
		default:
			fmt.Printf("%d %s %s/%s\n", ch.Version, ch.Type, ch.Kind, ch.Name)
		}
	}
}

type statusCmd struct{}

// Run shows events, nodes and upstreams.
func (statusCmd) Run(g *globals) error {
	var events []event.Status
	var nodes []member.Node
	var ups []upstream.Published
	for path, dst := range map[string]any{"/v1/status/events": &events, "/v1/nodes": &nodes, "/v1/upstreams": &ups} {
		if _, err := g.getJSON(path, dst); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "EVENT\tPHASE\tSINCE\tREASONS")
	for _, e := range events {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Name, e.Phase, e.Since.Format(time.RFC3339), strings.Join(e.Reasons, "; "))
	}
	_, _ = fmt.Fprintln(w, "\nNODE\tDOMAIN\tCALLERS\tLEAVING")
	for _, n := range nodes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", n.Name, n.FailureDomain, n.Callers, n.Leaving)
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tDOMAIN\tADDRESS\tSERVES\tLEAVING")
	for _, u := range ups {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\n", u.Name, u.FailureDomain, u.Addr, servedNames(u), u.LeavingMS > 0)
	}
	return w.Flush()
}

func servedNames(u upstream.Published) string {
	if u.Kind == upstream.KindService {
		return "service " + u.Service
	}
	var names []string
	for _, m := range u.Models {
		names = append(names, m.Name+"@"+m.Version)
	}
	return strings.Join(names, " ")
}

type explainCmd struct {
	What string   `arg:"" help:"Type of the subject: event, request or upstream." enum:"event,request,upstream"`
	Name string   `arg:"" help:"Name of the subject; customer/key for a request."`
	At   []string `help:"Operator addresses of crank-entry to query about a request; defaults to all nodes." sep:","`
	Logs []string `help:"Search these log files of crank-gateway for a request ID instead; - for standard input." sep:","`
}

// explainFromLogs prints what the logs of all nodes say about a request.
func (c *explainCmd) explainFromLogs() error {
	var all []logLine
	for _, name := range c.Logs {
		log := os.Stdin
		if name != "-" {
			file, err := os.Open(name)
			if err != nil {
				return exitErrorf(exitFailed, "%w", err)
			}
			defer func() { _ = file.Close() }()
			log = file
		}
		lines, err := parseLog(log, name)
		if err != nil {
			return exitErrorf(exitFailed, "read %s: %w", name, err)
		}
		all = append(all, lines...)
	}
	newTrace(c.Name, all).print(os.Stdout)
	return nil
}

// Run prints the decisions of each process, oldest first.
func (c *explainCmd) Run(g *globals) error {
	if len(c.Logs) > 0 {
		if c.What != "request" {
			return exitErrorf(exitFailed, "--logs applies to requests only")
		}
		return c.explainFromLogs()
	}
	// getJSON queries the addresses in Control. The decisions about a request are
	// held by crank-entry, so its operator addresses are put there instead.
	targets := *g
	path := "/v1/explain"
	if c.What == "request" {
		path = "/debug/explain"
		if targets.Control = c.At; len(targets.Control) == 0 {
			var err error
			if targets.Control, err = g.entryOperatorAddrs(); err != nil {
				return err
			}
		}
	}
	found := false
	for _, addr := range targets.Control {
		one := globals{Control: []string{addr}, Token: g.Token}
		var list []telemetry.Decision
		if _, err := one.getJSON(path+"?subject="+url.QueryEscape(c.Name), &list); err != nil {
			fmt.Fprintln(os.Stderr, "crankctl:", err)
			continue
		}
		for _, d := range list {
			found = true
			fmt.Printf("%s %s: %s %s\n", d.At.Format(time.RFC3339Nano), addr, d.What, d.Why)
		}
	}
	if !found {
		return exitErrorf(exitFailed, "no decisions found about %s %s; each process keeps its decisions in memory only", c.What, c.Name)
	}
	return nil
}

func (g *globals) entryOperatorAddrs() ([]string, error) {
	var nodes []member.Node
	if _, err := g.getJSON("/v1/nodes", &nodes); err != nil {
		return nil, err
	}
	var out []string
	for _, n := range nodes {
		out = append(out, n.Operators)
	}
	return out, nil
}

type dumpCmd struct {
	Addr []string `arg:"" optional:"" help:"Operator addresses; defaults to all nodes and --control."`
}

// Run prints the state of each process as JSON, by address.
func (c *dumpCmd) Run(g *globals) error {
	addrs := c.Addr
	if len(addrs) == 0 {
		entries, err := g.entryOperatorAddrs()
		if err != nil {
			return err
		}
		addrs = append(entries, g.Control...)
	}
	out := map[string]json.RawMessage{}
	for _, addr := range addrs {
		one := globals{Control: []string{addr}, Token: g.Token}
		var raw json.RawMessage
		if _, err := one.getJSON("/debug/state", &raw); err != nil {
			fmt.Fprintln(os.Stderr, "crankctl:", err)
			continue
		}
		out[addr] = raw
	}
	return printJSON(out)
}

type endpointsCmd struct{}

// Run shows the addresses in the order in which the caller should use them.
func (endpointsCmd) Run(g *globals) error {
	e, err := g.endpoints()
	if err != nil {
		return err
	}
	for _, a := range e.Endpoints {
		fmt.Printf("%s %s %s\n", a.Address, a.FailureDomain, a.Region)
	}
	fmt.Printf("use them for %d s; revision %d\n", e.TTLSeconds, e.Revision)
	return nil
}

func (g *globals) endpoints() (caller.Endpoints, error) {
	var e caller.Endpoints
	var lastErr error
	for _, addr := range g.Entry {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/endpoints", nil)
		if err != nil {
			return e, err
		}
		req.Header.Set("Authorization", "Bearer "+g.Key)
		resp, err := client.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&e)
		_ = resp.Body.Close()
		return e, err
	}
	return e, exitErrorf(exitUnavailable, "no crank-entry reachable: %v; set other addresses with --entry", lastErr)
}

type completionCmd struct{}

// Run prints a completion script generated from the command definitions.
func (completionCmd) Run(k *kong.Kong) error {
	var names []string
	fmt.Println("_crankctl() {\n  local cur=${COMP_WORDS[COMP_CWORD]}\n  case \"${COMP_WORDS[1]}\" in")
	for _, n := range k.Model.Children {
		names = append(names, n.Name)
		var flags []string
		for _, f := range n.Flags {
			flags = append(flags, "--"+f.Name)
		}
		words := strings.Join(flags, " ")
		if n.Name == "get" || n.Name == "edit" || n.Name == "delete" {
			words += " events models adapters services customers"
		}
		fmt.Printf("    %s) COMPREPLY=($(compgen -W \"%s\" -- \"$cur\"));;\n", n.Name, words)
	}
	fmt.Printf("    *) COMPREPLY=($(compgen -W \"%s\" -- \"$cur\"));;\n  esac\n}\ncomplete -o default -F _crankctl crankctl\n", strings.Join(names, " "))
	return nil
}
