package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tmaxmax/go-sse"

	"github.com/crankridge/crankridge/src/openai"
)

type loadCmd struct {
	Model      string        `help:"Model to send requests to." required:""`
	Rate       float64       `help:"Mean request rate per second, with Poisson arrivals." default:"20"`
	Duration   time.Duration `help:"Time during which requests are sent." default:"30s"`
	Surge      float64       `help:"Rate multiplier of the surge; 1 for no surge." default:"1"`
	SurgeStart time.Duration `help:"Time from the start of the run to the surge." default:"5s"`
	SurgeRamp  time.Duration `help:"Time over which the rate rises to that of the surge." default:"5s"`
	SurgeFor   time.Duration `help:"Time for which the surge rate is held after the ramp." default:"10s"`
	MaxTokens  int           `help:"Maximum number of tokens per answer." default:"40"`
	Prefixes   int           `help:"Number of distinct prefixes that prompts share." default:"20"`
	PrefixLen  int           `help:"Length of a shared prefix, in words." default:"300"`
	OwnLen     int           `help:"Length of the unique part of a prompt, in words." default:"30"`
	Deadline   time.Duration `help:"Deadline of each request." default:"30s"`
	FirstToken time.Duration `help:"Target for the time to first token." default:"810ms"`
	Between    time.Duration `help:"Target for the p95 interval between tokens of a request." default:"31ms"`
	Seed       uint64        `help:"Random seed of arrival times and prompts." default:"1"`
	Keys       []string      `help:"Bearer keys of customers, used in turn; defaults to --key." sep:","`
	JSON       bool          `help:"Print JSON instead of a table."`
}

// LoadReport is the result of a load run. Latencies are in ms. Those of first tokens
// and refusals start at the scheduled send time, so that slow responses are not
// hidden by coordinated omission.
type LoadReport struct {
	Sent          int            `json:"sent"`
	Completed     int            `json:"completed"`
	Refused       int            `json:"refused"`
	Broken        int            `json:"broken"` // ended with neither a complete answer nor an error code
	FirstP50      float64        `json:"first_token_p50_ms"`
	FirstP95      float64        `json:"first_token_p95_ms"`
	FirstP99      float64        `json:"first_token_p99_ms"`
	BetweenP50    float64        `json:"between_p50_ms"` // interval from token to token
	BetweenP95    float64        `json:"between_p95_ms"`
	RefusalP99    float64        `json:"refusal_p99_ms"`
	Within        float64        `json:"within_target"` // fraction of requests whose TTFT and p95 token interval met the targets
	PromptTokens  int            `json:"prompt_tokens"`
	Prefilled     int            `json:"prefilled_tokens"` // prompt tokens not served from a prefix cache
	TokensPS      float64        `json:"tokens_per_second"`
	RefusedByCode map[string]int `json:"refused_by_code"`
	ByKey         []KeyReport    `json:"by_key"`
}

// KeyReport is the part of a LoadReport for one customer key.
type KeyReport struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	Tokens    int `json:"tokens"`
}

// loadRun is the state of a load run.
type loadRun struct {
	globals        *globals
	cmd            *loadCmd
	client         *http.Client
	mu             sync.Mutex
	totals         LoadReport
	ttft           *hdrhistogram.Histogram
	tokenInterval  *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	withinTarget   int
	tokens         int
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond) // in µs, the unit of recorded values
	histogramDigits = 3                                          // significant decimal digits
)

// Run sends the load and prints the report.
func (c *loadCmd) Run(g *globals) error {
	if len(c.Keys) == 0 {
		c.Keys = []string{g.Key}
	}
	l := &loadRun{
		globals: g, cmd: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}},
		ttft: hdrhistogram.New(1, histogramMax, histogramDigits), tokenInterval: hdrhistogram.New(1, histogramMax, histogramDigits), refusalLatency: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	l.totals.RefusedByCode = map[string]int{}
	l.totals.ByKey = make([]KeyReport, len(c.Keys))
	start := time.Now()
	l.run()
	r := l.report(time.Since(start))
	if c.JSON {
		return printJSON(r)
	}
	return r.print()
}

// run sends requests open-loop: arrival times do not depend on earlier responses.
func (l *loadRun) run() {
	rng := rand.New(rand.NewPCG(l.cmd.Seed, l.cmd.Seed))
	start := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / l.cmd.rateAt(at) * float64(time.Second))
		if at > l.cmd.Duration {
			break
		}
		body := l.cmd.requestBody(rng)
		due := start.Add(at)
		time.Sleep(time.Until(due))
		wg.Go(func() { l.sendOne(i, due, body) })
	}
	wg.Wait()
}

// rateAt returns the request rate at a time of the run.
func (c *loadCmd) rateAt(at time.Duration) float64 {
	since := at - c.SurgeStart
	switch {
	case since < 0 || c.Surge == 1 || since > c.SurgeRamp+c.SurgeFor:
		return c.Rate
	case since < c.SurgeRamp:
		return c.Rate * (1 + (c.Surge-1)*since.Seconds()/c.SurgeRamp.Seconds())
	}
	return c.Rate * c.Surge
}

// requestBody returns a request whose prompt is a shared prefix, drawn with a
// skewed popularity, followed by random words.
func (c *loadCmd) requestBody(rng *rand.Rand) []byte {
	prefix := int(math.Pow(rng.Float64(), 2) * float64(c.Prefixes))
	var b strings.Builder
	words := rand.New(rand.NewPCG(uint64(prefix), 7))
	for range c.PrefixLen {
		fmt.Fprintf(&b, "w%d ", words.IntN(10000))
	}
	for range c.OwnLen {
		fmt.Fprintf(&b, "o%d ", rng.IntN(1e9))
	}
	raw, _ := json.Marshal(map[string]any{
		"model": c.Model, "prompt": b.String(), "max_tokens": c.MaxTokens, "stream": true, "stream_options": openai.StreamOptions{IncludeUsage: true},
	})
	return raw
}

// result is the outcome of one request.
type result struct {
	ttft        time.Duration
	intervals   []time.Duration
	tokens      int
	usage       *openai.Usage
	complete    bool
	refusalCode string
}

func (l *loadRun) sendOne(i int, due time.Time, body []byte) {
	key := i % len(l.cmd.Keys)
	addr := l.globals.Entry[i%len(l.globals.Entry)]
	var res result
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+l.cmd.Keys[key])
		req.Header.Set("Crankridge-Deadline-Ms", strconv.FormatInt(l.cmd.Deadline.Milliseconds(), 10))
		res = l.readStream(req, due)
	}
	l.addResult(key, res, time.Since(due))
}

func (l *loadRun) readStream(req *http.Request, due time.Time) (res result) {
	resp, err := l.client.Do(req)
	if err != nil {
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var e openai.ErrorBody
		_ = json.NewDecoder(resp.Body).Decode(&e)
		res.refusalCode = e.Error.Code
		return res
	}
	last := due
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return res
		}
		if ev.Data == openai.Done {
			res.complete = true
			return res
		}
		var a openai.Answer
		if json.Unmarshal([]byte(ev.Data), &a) != nil {
			return res
		}
		if a.Usage != nil {
			res.usage = a.Usage
		}
		if len(a.Choices) == 0 || a.Choices[0].Text == nil || *a.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if res.tokens == 0 {
			res.ttft = now.Sub(due)
		} else {
			res.intervals = append(res.intervals, now.Sub(last))
		}
		last = now
		res.tokens++
	}
	return res
}

func (l *loadRun) addResult(key int, res result, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Sent++
	l.totals.ByKey[key].Sent++
	switch {
	case res.refusalCode != "":
		l.totals.Refused++
		l.totals.RefusedByCode[res.refusalCode]++
		_ = l.refusalLatency.RecordValue(elapsed.Microseconds())
		return
	case !res.complete:
		l.totals.Broken++
		return
	}
	l.totals.Completed++
	l.totals.ByKey[key].Completed++
	l.totals.ByKey[key].Tokens += res.tokens
	l.tokens += res.tokens
	_ = l.ttft.RecordValue(res.ttft.Microseconds())
	requestIntervals := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, interval := range res.intervals {
		_ = l.tokenInterval.RecordValue(max(interval.Microseconds(), 1))
		_ = requestIntervals.RecordValue(max(interval.Microseconds(), 1))
	}
	if res.ttft <= l.cmd.FirstToken && requestIntervals.ValueAtQuantile(95) <= l.cmd.Between.Microseconds() {
		l.withinTarget++
	}
	if res.usage != nil {
		l.totals.PromptTokens += res.usage.PromptTokens
		l.totals.Prefilled += res.usage.PromptTokens - res.usage.PromptDetails.CachedTokens
	}
}

func (l *loadRun) report(elapsed time.Duration) LoadReport {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := l.totals
	r.FirstP50, r.FirstP95, r.FirstP99 = ms(l.ttft, 50), ms(l.ttft, 95), ms(l.ttft, 99)
	r.BetweenP50, r.BetweenP95 = ms(l.tokenInterval, 50), ms(l.tokenInterval, 95)
	r.RefusalP99 = ms(l.refusalLatency, 99)
	r.Within = float64(l.withinTarget) / float64(max(r.Sent, 1))
	r.TokensPS = float64(l.tokens) / elapsed.Seconds()
	return r
}

func (r LoadReport) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "sent\t%d\ncompleted\t%d\nrefused\t%d %v\nbroken\t%d\n", r.Sent, r.Completed, r.Refused, r.RefusedByCode, r.Broken)
	_, _ = fmt.Fprintf(w, "first token p50/p95/p99 ms\t%.1f / %.1f / %.1f\n", r.FirstP50, r.FirstP95, r.FirstP99)
	_, _ = fmt.Fprintf(w, "between tokens p50/p95 ms\t%.1f / %.1f\n", r.BetweenP50, r.BetweenP95)
	_, _ = fmt.Fprintf(w, "refusal p99 ms\t%.1f\n", r.RefusalP99)
	_, _ = fmt.Fprintf(w, "within the target\t%.1f%%\n", 100*r.Within)
	_, _ = fmt.Fprintf(w, "prompt tokens, prefilled\t%d, %d\ntokens/s\t%.0f\n", r.PromptTokens, r.Prefilled, r.TokensPS)
	for i, k := range r.ByKey {
		_, _ = fmt.Fprintf(w, "customer %d sent/completed/tokens\t%d / %d / %d\n", i, k.Sent, k.Completed, k.Tokens)
	}
	return w.Flush()
}
