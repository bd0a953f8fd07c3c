package settings

import "time"

// Standin is the settings of crank-standin: which fakes run in the process.
// It is for tests and the demo only.
type Standin struct {
	KV       *StandinKV       `yaml:"kv"`
	Cloud    *StandinCloud    `yaml:"cloud"`
	Weights  *StandinWeights  `yaml:"weights"`
	Engines  []StandinEngine  `yaml:"engines"`
	Services []StandinService `yaml:"services"`
}

// StandinKV is the key-value service.
type StandinKV struct {
	Listen string `yaml:"listen"`
}

// StandinWeights is the weight store.
type StandinWeights struct {
	Listen string  `yaml:"listen"`
	Rate   float64 `yaml:"bytes_per_second"`
}

// StandinCloud is the cloud API with its VM list.
type StandinCloud struct {
	Listen  string         `yaml:"listen"`
	VMs     []StandinVM    `yaml:"vms"`
	Offers  []StandinOffer `yaml:"offers"`
	Shape   StandinShape   `yaml:"shape"`
	Weights string         `yaml:"weights"`
}

// StandinVM is a VM that runs from the start.
type StandinVM struct {
	Name          string  `yaml:"name"`
	FailureDomain string  `yaml:"failure_domain"`
	Region        string  `yaml:"region"`
	Class         string  `yaml:"class"`
	Reclaimable   bool    `yaml:"reclaimable"`
	Role          string  `yaml:"role"`
	Service       string  `yaml:"service"`
	Address       string  `yaml:"address"`
	HourPrice     float64 `yaml:"hour_price"`
}

// StandinOffer is what can be bought.
type StandinOffer struct {
	Class         string        `yaml:"class"`
	FailureDomain string        `yaml:"failure_domain"`
	Region        string        `yaml:"region"`
	Reclaimable   bool          `yaml:"reclaimable"`
	HourPrice     float64       `yaml:"hour_price"`
	ReclaimPerDay float64       `yaml:"reclaim_per_day"`
	Boot          time.Duration `yaml:"boot"`
}

// StandinShape is how fast and how large an engine is; 0 takes the default.
type StandinShape struct {
	Slots       int     `yaml:"slots"`
	PrefillTPS  float64 `yaml:"prefill_tps"`
	StepMS      float64 `yaml:"step_ms"`
	StepPerSeq  float64 `yaml:"step_per_seq"`
	CacheBlocks int     `yaml:"cache_blocks"`
	MoveTPS     float64 `yaml:"move_tps"`
	LagMS       int     `yaml:"lag_ms"`
}

// StandinEngine is a model engine.
type StandinEngine struct {
	Name    string       `yaml:"name"`
	Listen  string       `yaml:"listen"`
	Models  []string     `yaml:"models"`
	Version string       `yaml:"version"`
	Weights string       `yaml:"weights"`
	Shape   StandinShape `yaml:"shape"`
}

// StandinService is a plain service.
type StandinService struct {
	Name          string `yaml:"name"`
	Listen        string `yaml:"listen"`
	ChecksFencing bool   `yaml:"checks_fencing"`
}

// LoadStandin reads and checks a settings file of crank-standin.
func LoadStandin(path string) (Standin, error) {
	var s Standin
	return s, load(path, &s)
}

func (s *Standin) check() error {
	var p problems
	if s.KV != nil {
		p.needAddr("kv.listen", s.KV.Listen)
	}
	if s.Cloud != nil {
		p.needAddr("cloud.listen", s.Cloud.Listen)
	}
	if s.Weights != nil {
		p.needAddr("weights.listen", s.Weights.Listen)
		if s.Weights.Rate <= 0 {
			p.add("weights.bytes_per_second", "must be above 0")
		}
	}
	for _, e := range s.Engines {
		p.needText("engines.name", e.Name)
		p.needAddr("engines.listen", e.Listen)
	}
	for _, v := range s.Services {
		p.needText("services.name", v.Name)
		p.needAddr("services.listen", v.Listen)
	}
	if s.KV == nil && s.Cloud == nil && s.Weights == nil && len(s.Engines)+len(s.Services) == 0 {
		p.add("kv, cloud, weights, engines, services:", "at least one must be given")
	}
	return p.err()
}
