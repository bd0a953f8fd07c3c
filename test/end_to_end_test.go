package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	openai "github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/crankridge/crankridge/src/catalog"
)

var smallSystem = options{nodes: 3, domains: 3, engines: 3, services: 2, modelServers: 1}

// Requests of all kinds must be served and a configuration change must reach all nodes.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)

	plain := b.nodes[0].send(chatRequest("Describe the climb.", 30, false))
	is.Equal(plain.status, http.StatusOK)
	is.Equal(plain.outcome, "completed")
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	is.NoErr(json.Unmarshal([]byte(plain.body), &completion))
	is.Equal(completion.Usage.Completion, 30)

	streamed := b.nodes[1].send(chatRequest("Describe the climb.", 30, true))
	is.True(streamed.complete)
	is.Equal(strings.Join(streamed.tokens, ""), completion.Choices[0].Message.Content) // the same text as without streaming
	for i, id := range streamed.eventIDs {
		is.Equal(id, i+1) // event ids count tokens
	}

	booked := b.nodes[2].send(bookingRequest("b-1"))
	is.Equal(booked.status, http.StatusOK)
	is.Equal(b.runCounts()["b-1"], 1)

	version := b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "summary", Model: &catalog.Model{Bytes: 1, Version: "1"}})
	b.eventually("the change is in force on all nodes", func() bool {
		f := b.rolloutStatus(version)
		return f.Nodes == 3 && f.Have == 3
	})
	for _, n := range b.nodes {
		var list struct{ Data []struct{ ID string } }
		is.Equal(getJSON("http://"+n.callers+"/v1/models", rideKey, &list), http.StatusOK)
		is.Equal(len(list.Data), 2)
	}
}

// The API must stay compatible with OpenAI's client library.
func TestOpenAIClientLibrary(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	client := openai.NewClient(option.WithBaseURL("http://"+b.nodes[0].callers+"/v1/"), option.WithAPIKey(rideKey))
	params := openai.ChatCompletionNewParams{
		Model: "climb", MaxCompletionTokens: openai.Int(20),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is the descent gravel?")},
	}
	plain, err := client.Chat.Completions.New(context.Background(), params)
	is.NoErr(err)
	is.Equal(plain.Usage.CompletionTokens, int64(20))

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, plain.Choices[0].Message.Content)
	is.Equal(acc.Usage.CompletionTokens, int64(20))

	params.Model = "none"
	_, err = client.Chat.Completions.New(context.Background(), params)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "model_not_found"))

	models, err := client.Models.List(context.Background())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, "climb")
}

// Bad input must be refused with its error code and must not run.
func TestBadInput(t *testing.T) {
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1, entry: "limits: {body_bytes: 2000}"})
	n := b.nodes[0]
	unknown := chatRequest("x", 5, false)
	unknown.bearer = "nobody"
	for _, c := range []struct {
		name string
		req  request
		want int
		code string
	}{
		{"unknown customer", unknown, 401, "invalid_api_key"},
		{"unknown model", request{path: "/v1/completions", bearer: rideKey, body: `{"model":"none","prompt":"x"}`}, 404, "model_not_found"},
		{"malformed JSON", request{path: "/v1/completions", bearer: rideKey, body: `{"model":`}, 400, "invalid_request"},
		{"no prompt", request{path: "/v1/completions", bearer: rideKey, body: `{"model":"climb"}`}, 400, "invalid_request"},
		{"body over the limit", chatRequest(strings.Repeat("x", 3000), 5, false), 413, "body_too_large"},
		{"unknown service", request{path: "/v1/services/none/x", bearer: rideKey}, 404, "service_not_found"},
		{"bad key", bookingRequest("a b"), 400, "bad_key"},
		{"bad deadline", bookingRequest("k").withHeader("Crankridge-Deadline-Ms", "soon"), 400, "bad_header"},
		{"bad repeatable", bookingRequest("k").withHeader("Crankridge-Repeatable", "maybe"), 400, "bad_header"},
		{"unknown path", request{path: "/v2/x", bearer: rideKey}, 404, "not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := n.send(c.req)
			is.Equal(r.status, c.want)
			is.Equal(r.outcome, "not-run")
			is.True(strings.Contains(r.body, c.code))
		})
	}
	t.Run("key used for another body", func(t *testing.T) {
		is := is.New(t)
		is.Equal(n.send(bookingRequest("twice")).status, 200)
		other := bookingRequest("twice")
		other.body = `{"chair":4}`
		is.Equal(n.send(other).status, 422)
		is.Equal(b.nodes[1].send(other).status, 422) // also at another node
	})
	t.Run("no bad request ran", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(b.runCounts()), 1)
	})
	t.Run("event that ends before it starts", func(t *testing.T) {
		is := is.New(t)
		ev := catalog.Resource{Kind: catalog.KindEvent, Name: "bad", Event: &catalog.Event{
			Start: time.Now(), End: time.Now().Add(-time.Hour), Models: []catalog.EventModel{{Name: "climb", Servers: 1}},
		}}
		status, _ := b.putResource(0, ev, 0, "")
		is.Equal(status, http.StatusUnprocessableEntity)
	})
	t.Run("change without If-Match", func(t *testing.T) {
		is := is.New(t)
		req, _ := http.NewRequest(http.MethodPut, b.resourceURL(0, catalog.Resource{Kind: "model", Name: "x"}), strings.NewReader("{}"))
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusPreconditionRequired)
	})
}

// An error in the settings must be reported with the file and the reason.
func TestWrongSettings(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct{ text, want string }{
		"unknown field": {"node: {name: a, color: red}\n", `unknown field "color"`},
		"duplicate key": {"node: {name: a}\nnode: {name: b}\n", "already defined"},
		"wrong unit":    {"stop: {ttl: 30 parsecs}\n", "ttl"},
		"missing":       {"node: {name: a}\n", "node.failure_domain is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".yaml")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			out, err := exec.Command(filepath.Join(binaries, "crank-entry"), "-s", path, "--check").CombinedOutput()
			is.True(err != nil)
			is.True(strings.Contains(string(out), c.want))
			is.True(strings.Contains(string(out), path))
		})
	}
}

// A stream that an engine truncates must continue on another engine without the
// caller noticing.
func TestTruncatedEngineStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	want := b.nodes[0].send(chatRequest("Where is the water?", 40, true))
	for _, e := range b.engines {
		b.postAdmin(e.addr, "faults", map[string]int{"cut_after": 7})
	}
	got := b.nodes[0].send(chatRequest("Where is the water?", 40, true))
	is.True(got.complete)
	is.Equal(got.tokens, want.tokens)
	is.Equal(len(got.tokens), 40)
}

// A node that stops must finish its streams and hand over its shards.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	n := b.nodes[0]
	const streams = 20
	want := b.nodes[1].send(chatRequest("Notes for rider 0.", 150, true))
	started := make(chan int, streams*200)
	results := make([]response, streams)
	done := make(chan struct{})
	go func() {
		runConcurrently(streams, func(i int) {
			req := chatRequest(fmt.Sprintf("Notes for rider %d.", i), 150, true)
			req.tokenIDs = started
			results[i] = n.send(req)
		})
		close(done)
	}()
	for range streams {
		<-started
	}
	n.signal(syscall.SIGTERM)
	b.eventually("the endpoints no longer include the node", func() bool {
		var e struct{ Endpoints []struct{ Address string } }
		getJSON("http://"+b.nodes[1].callers+"/v1/endpoints", rideKey, &e)
		for _, endpoint := range e.Endpoints {
			if endpoint.Address == n.callers {
				return false
			}
		}
		return len(e.Endpoints) == 2
	})
	<-done
	for _, r := range results {
		is.True(r.complete)
		is.Equal(len(r.tokens), 150)
	}
	is.Equal(results[0].tokens, want.tokens)
	is.True(n.waitExit(stopTimeout))
	b.eventually("other nodes have taken over its shards", func() bool {
		s := b.state(b.nodes[1])
		return s.PassiveShards == 0 && len(s.Shards) == s.MapShards
	})
	is.Equal(b.nodes[1].send(bookingRequest("after")).status, 200)
}

// Logs and state dumps must not contain secrets.
func TestSecretsAreNotExposed(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	is.Equal(b.nodes[0].send(chatRequest("hello", 3, false)).status, 200)
	is.Equal(b.nodes[0].send(bookingRequest("k")).status, 200)
	unknown := bookingRequest("k")
	unknown.bearer = "wrong-secret-key"
	is.Equal(b.nodes[0].send(unknown).status, 401)
	texts := map[string]string{}
	for _, n := range b.nodes {
		var dump json.RawMessage
		is.Equal(getJSON("http://"+n.operators+"/debug/state", token, &dump), 200)
		texts["dump of "+n.name] = string(dump)
		is.Equal(getJSON("http://"+n.operators+"/debug/state", "wrong", nil), 401)
		is.Equal(getJSON("http://"+n.peers+"/twirp/crankridge.peer.Peer/Inventory", "wrong", nil), 401)
	}
	logs, _ := filepath.Glob(filepath.Join(b.dir, "*.log"))
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		is.NoErr(err)
		texts[path] = string(raw)
	}
	for where, text := range texts {
		for _, secret := range []string{"test-peer", token, rideKey, clinicKey, "wrong-secret-key", catalog.HashKey(rideKey)} {
			if strings.Contains(text, secret) {
				t.Errorf("%s contains %q", where, secret)
			}
		}
	}
}
