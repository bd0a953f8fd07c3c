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
	Model      string        `help:"Model to ask." required:""`
	Rate       float64       `help:"Requests a second, arriving at random (Poisson)." default:"20"`
	Duration   time.Duration `help:"How long requests are sent." default:"30s"`
	Surge      float64       `help:"Factor on the rate during the surge; 1 for none." default:"1"`
	SurgeStart time.Duration `help:"When the surge begins." default:"5s"`
	SurgeRamp  time.Duration `help:"Time from the plain to the full rate." default:"5s"`
	SurgeFor   time.Duration `help:"How long the full rate is kept." default:"10s"`
	MaxTokens  int           `help:"Tokens of each answer." default:"40"`
	Prefixes   int           `help:"Number of different beginnings that prompts share." default:"20"`
	PrefixLen  int           `help:"Words of such a beginning." default:"300"`
	OwnLen     int           `help:"Words of a prompt's own part." default:"30"`
	Deadline   time.Duration `help:"Deadline of each request." default:"30s"`
	FirstToken time.Duration `help:"Target for the first token." default:"810ms"`
	Between    time.Duration `help:"Target between two tokens." default:"31ms"`
	Seed       uint64        `help:"Seed of arrivals and prompts." default:"1"`
	Keys       []string      `help:"Customers' bearer keys, used in turn; --key if left out." sep:","`
	JSON       bool          `help:"Print JSON instead of a table."`
}

// LoadReport is what a load run measured. Times are ms, from when a request
// should have been sent, so that a slow answer delays no later one's clock.
type LoadReport struct {
	Sent          int            `json:"sent"`
	Completed     int            `json:"completed"`
	Refused       int            `json:"refused"`
	Broken        int            `json:"broken"`
	FirstP50      float64        `json:"first_token_p50_ms"`
	FirstP95      float64        `json:"first_token_p95_ms"`
	FirstP99      float64        `json:"first_token_p99_ms"`
	BetweenP50    float64        `json:"between_p50_ms"`
	BetweenP95    float64        `json:"between_p95_ms"`
	RefusalP99    float64        `json:"refusal_p99_ms"`
	Within        float64        `json:"within_target"` // share of all sent whose first token and p95 between tokens met the targets
	PromptTokens  int            `json:"prompt_tokens"`
	Prefilled     int            `json:"prefilled_tokens"` // prompt tokens not found in a prefix cache
	TokensPS      float64        `json:"tokens_per_second"`
	RefusedByCode map[string]int `json:"refused_by_code"`
	ByKey         []KeyReport    `json:"by_key"`
}

// KeyReport is one customer's part of a run.
type KeyReport struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	Tokens    int `json:"tokens"`
}

// loader is one run.
type loader struct {
	g       *globals
	c       *loadCmd
	client  *http.Client
	mu      sync.Mutex
	out     LoadReport
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
	good    int
	tokens  int
}

const (
	histMost   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// Run sends the load and prints what was measured.
func (c *loadCmd) Run(g *globals) error {
	if len(c.Keys) == 0 {
		c.Keys = []string{g.Key}
	}
	l := &loader{
		g: g, c: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}},
		first: hdrhistogram.New(1, histMost, histDigits), between: hdrhistogram.New(1, histMost, histDigits), refusal: hdrhistogram.New(1, histMost, histDigits),
	}
	l.out.RefusedByCode = map[string]int{}
	l.out.ByKey = make([]KeyReport, len(c.Keys))
	began := time.Now()
	l.run()
	r := l.report(time.Since(began))
	if c.JSON {
		return printJSON(r)
	}
	return r.print()
}

// run sends at times drawn beforehand, whatever becomes of earlier requests.
func (l *loader) run() {
	rng := rand.New(rand.NewPCG(l.c.Seed, l.c.Seed))
	began := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / l.c.rateAt(at) * float64(time.Second))
		if at > l.c.Duration {
			break
		}
		body := l.c.body(rng)
		due := began.Add(at)
		time.Sleep(time.Until(due))
		wg.Go(func() { l.one(i, due, body) })
	}
	wg.Wait()
}

// rateAt is the rate at a time of the run.
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

// body makes a prompt of a shared beginning, drawn with a few favourites, and
// a part of its own.
func (c *loadCmd) body(rng *rand.Rand) []byte {
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

// seen is what one request showed.
type seen struct {
	first   time.Duration
	gaps    []time.Duration
	tokens  int
	usage   *openai.Usage
	whole   bool
	refused string
}

func (l *loader) one(i int, due time.Time, body []byte) {
	key := i % len(l.c.Keys)
	addr := l.g.Entry[i%len(l.g.Entry)]
	var s seen
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+l.c.Keys[key])
		req.Header.Set("Crankridge-Deadline-Ms", strconv.FormatInt(l.c.Deadline.Milliseconds(), 10))
		s = l.read(req, due)
	}
	l.add(key, s, time.Since(due))
}

func (l *loader) read(req *http.Request, due time.Time) (s seen) {
	resp, err := l.client.Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var e openai.ErrorBody
		_ = json.NewDecoder(resp.Body).Decode(&e)
		s.refused = e.Error.Code
		return s
	}
	last := due
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return s
		}
		if ev.Data == openai.Done {
			s.whole = true
			return s
		}
		var a openai.Answer
		if json.Unmarshal([]byte(ev.Data), &a) != nil {
			return s
		}
		if a.Usage != nil {
			s.usage = a.Usage
		}
		if len(a.Choices) == 0 || a.Choices[0].Text == nil || *a.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if s.tokens == 0 {
			s.first = now.Sub(due)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
		s.tokens++
	}
	return s
}

func (l *loader) add(key int, s seen, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.Sent++
	l.out.ByKey[key].Sent++
	switch {
	case s.refused != "":
		l.out.Refused++
		l.out.RefusedByCode[s.refused]++
		_ = l.refusal.RecordValue(took.Microseconds())
		return
	case !s.whole:
		l.out.Broken++
		return
	}
	l.out.Completed++
	l.out.ByKey[key].Completed++
	l.out.ByKey[key].Tokens += s.tokens
	l.tokens += s.tokens
	_ = l.first.RecordValue(s.first.Microseconds())
	own := hdrhistogram.New(1, histMost, histDigits)
	for _, gap := range s.gaps {
		_ = l.between.RecordValue(max(gap.Microseconds(), 1))
		_ = own.RecordValue(max(gap.Microseconds(), 1))
	}
	if s.first <= l.c.FirstToken && own.ValueAtQuantile(95) <= l.c.Between.Microseconds() {
		l.good++
	}
	if s.usage != nil {
		l.out.PromptTokens += s.usage.PromptTokens
		l.out.Prefilled += s.usage.PromptTokens - s.usage.PromptDetails.CachedTokens
	}
}

func (l *loader) report(took time.Duration) LoadReport {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := l.out
	r.FirstP50, r.FirstP95, r.FirstP99 = ms(l.first, 50), ms(l.first, 95), ms(l.first, 99)
	r.BetweenP50, r.BetweenP95 = ms(l.between, 50), ms(l.between, 95)
	r.RefusalP99 = ms(l.refusal, 99)
	r.Within = float64(l.good) / float64(max(r.Sent, 1))
	r.TokensPS = float64(l.tokens) / took.Seconds()
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
