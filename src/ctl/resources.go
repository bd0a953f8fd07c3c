package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/operator"
)

type applyCmd struct {
	File    string        `help:"YAML file, - for standard input." short:"f" required:""`
	Wait    bool          `help:"Wait until the change is in force on all live nodes."`
	Timeout time.Duration `help:"Maximum time that --wait waits." default:"30s"`
	DryRun  bool          `help:"Validate on the server without changing anything."`
}

// Run applies the documents of the file in order and stops at the first error.
func (c *applyCmd) Run(g *globals) error {
	docs, err := readDocuments(c.File)
	if err != nil {
		return err
	}
	last := int64(0)
	for _, r := range docs {
		stored, err := g.apply(r, c.DryRun)
		if err != nil {
			return err
		}
		last = max(last, stored.Version)
		verb := "applied"
		if c.DryRun {
			verb = "valid"
		}
		fmt.Printf("%s/%s %s, version %d\n", r.Kind, r.Name, verb, stored.Version)
	}
	if !c.Wait || c.DryRun {
		return nil
	}
	return g.waitInForce(last, c.Timeout)
}

func readDocuments(file string) ([]catalog.Resource, error) {
	var raw []byte
	var err error
	if file == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, exitErrorf(exitFailed, "read %s: %v", file, err)
	}
	var out []catalog.Resource
	// UseJSONUnmarshaler takes the field names from the JSON tags.
	dec := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict(), yaml.UseJSONUnmarshaler())
	for {
		var r catalog.Resource
		err := dec.Decode(&r)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, exitErrorf(exitFailed, "%s: document %d: %s", file, len(out)+1, yaml.FormatError(err, false, true))
		}
		if r.Kind == "" && r.Name == "" {
			continue
		}
		if err := r.Validate(); err != nil {
			return nil, exitErrorf(exitFailed, "%s: document %d (%s/%s): %v", file, len(out)+1, r.Kind, r.Name, err)
		}
		out = append(out, r)
	}
}

// apply creates or updates a resource. Retries send the same change ID, so the
// change is made at most once.
func (g *globals) apply(r catalog.Resource, dryRun bool) (catalog.Resource, error) {
	path := "/v1/resources/" + string(r.Kind) + "/" + r.Name
	version := r.Version
	if version == 0 {
		var current catalog.Resource
		res, err := g.do(http.MethodGet, path, nil, nil)
		if err != nil {
			return r, err
		}
		if res.status == http.StatusOK && json.Unmarshal(res.body, &current) == nil {
			version = current.Version
		}
	}
	r.Version, r.Changes = 0, nil
	raw, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	if dryRun {
		path += "?dry_run=true"
	}
	header := map[string]string{"If-Match": strconv.FormatInt(version, 10), "Crankridge-Change-Id": uuid.NewString()}
	var res response
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(time.Second)
		}
		if res, err = g.do(http.MethodPut, path, header, raw); err == nil && res.status != http.StatusServiceUnavailable {
			break
		}
	}
	if err != nil {
		return r, err
	}
	if res.status != http.StatusOK {
		return r, res.toError()
	}
	var stored catalog.Resource
	return stored, json.Unmarshal(res.body, &stored)
}

func (g *globals) waitInForce(version int64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		var rollout operator.RolloutStatus
		_, err := g.getJSON("/v1/inforce?version="+strconv.FormatInt(version, 10), &rollout)
		if err == nil && rollout.Have == rollout.Nodes && rollout.Nodes > 0 {
			fmt.Printf("in force on all %d nodes\n", rollout.Nodes)
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return exitErrorf(exitNotRolledOut, "accepted, but in force on %d of %d nodes only; lagging: %s", rollout.Have, rollout.Nodes, strings.Join(rollout.Lagging, ", "))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

type getCmd struct {
	Kind   string `arg:"" help:"Kind: events, models, adapters, services or customers."`
	Name   string `arg:"" optional:"" help:"Name of a single resource to show."`
	Output string `help:"Output format: table, yaml or json." short:"o" enum:"table,yaml,json" default:"table"`
}

// Run shows resources.
func (c *getCmd) Run(g *globals) error {
	list, err := g.resources(c.Kind, c.Name)
	if err != nil {
		return err
	}
	switch c.Output {
	case "json":
		return printJSON(list)
	case "yaml":
		return printYAML(list)
	}
	return printTable(list)
}

func (g *globals) resources(kind, name string) ([]catalog.Resource, error) {
	path := "/v1/resources/" + kind
	if name == "" {
		var list []catalog.Resource
		_, err := g.getJSON(path, &list)
		return list, err
	}
	var one catalog.Resource
	_, err := g.getJSON(path+"/"+name, &one)
	return []catalog.Resource{one}, err
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func printYAML(list []catalog.Resource) error {
	for i, r := range list {
		if i > 0 {
			fmt.Println("---")
		}
		r.Changes = nil
		raw, err := yaml.MarshalWithOptions(r, yaml.UseJSONMarshaler())
		if err != nil {
			return err
		}
		fmt.Print(string(raw))
	}
	return nil
}

func printTable(list []catalog.Resource) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tNAME\tVERSION\tWHAT")
	for _, r := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.Kind, r.Name, r.Version, summary(r))
	}
	return w.Flush()
}

func summary(r catalog.Resource) string {
	switch {
	case r.Event != nil:
		return fmt.Sprintf("%s to %s, %d models, %d customers", r.Event.Start.Format(time.RFC3339), r.Event.End.Format(time.RFC3339), len(r.Event.Models), len(r.Event.Customers))
	case r.Model != nil:
		return fmt.Sprintf("version %s, %d bytes, %d servers", r.Model.Version, r.Model.Bytes, r.Model.Servers)
	case r.Adapter != nil:
		return fmt.Sprintf("of %s, version %s", r.Adapter.Model, r.Adapter.Version)
	case r.Service != nil:
		return fmt.Sprintf("repeatable %t", r.Service.Repeatable)
	case r.Customer != nil:
		return fmt.Sprintf("weight %d, priority %d", r.Customer.Weight, r.Customer.Priority)
	}
	return ""
}

type editCmd struct {
	Kind string `arg:""`
	Name string `arg:""`
}

// Run prints a resource with its version, so that applying it fails if the
// resource was changed in the meantime.
func (c *editCmd) Run(g *globals) error {
	list, err := g.resources(c.Kind, c.Name)
	if err != nil {
		return err
	}
	return printYAML(list)
}

type deleteCmd struct {
	Kind    string `arg:""`
	Name    string `arg:""`
	Version int64  `help:"Delete only if the resource is at this version; defaults to the current version."`
}

// Run deletes a resource.
func (c *deleteCmd) Run(g *globals) error {
	version := c.Version
	if version == 0 {
		list, err := g.resources(c.Kind, c.Name)
		if err != nil {
			return err
		}
		version = list[0].Version
	}
	res, err := g.do(http.MethodDelete, "/v1/resources/"+c.Kind+"/"+c.Name, map[string]string{"If-Match": strconv.FormatInt(version, 10)}, nil)
	if err != nil {
		return err
	}
	if res.status != http.StatusOK {
		return res.toError()
	}
	fmt.Printf("%s/%s deleted\n", c.Kind, c.Name)
	return nil
}
