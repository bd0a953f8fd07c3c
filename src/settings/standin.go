package settings

import "time"

// Standin holds the settings of crank-standin, which runs fake services for tests
// and the demo. Services that are not configured do not run.
type Standin struct {
	KV       *StandinKV       `yaml:"kv"`
	Cloud    *StandinCloud    `yaml:"cloud"`
	Weights  *StandinWeights  `yaml:"weights"`
	Engines  []StandinEngine  `yaml:"engines"`
	Services []StandinService `yaml:"services"`
}

// StandinKV configures the key-value service.
type StandinKV struct {
	Listen string `yaml:"listen"`
}

// StandinWeights configures the store of model weights.
type StandinWeights struct {
	Listen string  `yaml:"listen"`
	Rate   float64 `yaml:"bytes_per_second"`
}

// StandinCloud configures the cloud API.
type StandinCloud struct {
	Listen  string         `yaml:"listen"`
	VMs     []StandinVM    `yaml:"vms"`
	Offers  []StandinOffer `yaml:"offers"`
	Shape   StandinShape   `yaml:"shape"`   // of the engines on VMs that are bought
	Weights string         `yaml:"weights"` // address of the weight store that they load from
}

// StandinVM is a VM that is running at startup.
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

// StandinOffer is a VM offer of the cloud API.
type StandinOffer struct {
	Class         string        `yaml:"class"`
	FailureDomain string        `yaml:"failure_domain"`
	Region        string        `yaml:"region"`
	Reclaimable   bool          `yaml:"reclaimable"`
	HourPrice     float64       `yaml:"hour_price"`
	ReclaimPerDay float64       `yaml:"reclaim_per_day"` // expected number of reclaims of a VM per day
	Boot          time.Duration `yaml:"boot"`            // boot time of the VM
}

// StandinShape configures the speed and capacity of an engine. A field that is 0
// has the value in standin.DefaultEngineShape.
type StandinShape struct {
	Slots       int     `yaml:"slots"`        // maximum batch size
	PrefillTPS  float64 `yaml:"prefill_tps"`  // prompt tokens per second, all streams together
	StepMS      float64 `yaml:"step_ms"`      // duration of a decode step with one stream, ms
	StepPerSeq  float64 `yaml:"step_per_seq"` // ms that each further stream adds to a step
	CacheBlocks int     `yaml:"cache_blocks"` // capacity of the prefix cache
	MoveTPS     float64 `yaml:"move_tps"`     // KV cache transfer rate, tokens per second
	LagMS       int     `yaml:"lag_ms"`       // age of the load report, ms
}

// StandinEngine configures a model engine.
type StandinEngine struct {
	Name    string       `yaml:"name"`
	Listen  string       `yaml:"listen"`
	Models  []string     `yaml:"models"`
	Version string       `yaml:"version"`
	Weights string       `yaml:"weights"` // address of the weight store
	Shape   StandinShape `yaml:"shape"`
}

// StandinService configures a plain service.
type StandinService struct {
	Name          string `yaml:"name"`
	Listen        string `yaml:"listen"`
	ChecksFencing bool   `yaml:"checks_fencing"` // reject calls with an older fencing token than the last one accepted for the key
}

// LoadStandin reads and validates a settings file of crank-standin.
func LoadStandin(path string) (Standin, error) {
	var cfg Standin
	err := load(path, &cfg)
	return cfg, err
}

func (s *Standin) validate() error {
	var errs fieldErrors
	if s.KV != nil {
		errs.requireAddr("kv.listen", s.KV.Listen)
	}
	if s.Cloud != nil {
		errs.requireAddr("cloud.listen", s.Cloud.Listen)
	}
	if s.Weights != nil {
		errs.requireAddr("weights.listen", s.Weights.Listen)
		if s.Weights.Rate <= 0 {
			errs.add("weights.bytes_per_second", "must be above 0")
		}
	}
	for _, e := range s.Engines {
		errs.requireText("engines.name", e.Name)
		errs.requireAddr("engines.listen", e.Listen)
	}
	for _, v := range s.Services {
		errs.requireText("services.name", v.Name)
		errs.requireAddr("services.listen", v.Listen)
	}
	if s.KV == nil && s.Cloud == nil && s.Weights == nil && len(s.Engines)+len(s.Services) == 0 {
		errs.add("kv, cloud, weights, engines, services:", "at least one must be given")
	}
	return errs.join()
}
