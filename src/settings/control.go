package settings

import "time"

// Control holds the settings of crank-control.
type Control struct {
	Node    Node          `yaml:"node"`
	Listen  ControlListen `yaml:"listen"`
	KV      Service       `yaml:"kv"`
	Cloud   Service       `yaml:"cloud"`
	Secrets Secrets       `yaml:"secrets"`
	Planner Planner       `yaml:"planner"`
}

// ControlListen holds the listen addresses of crank-control.
type ControlListen struct {
	Operators string `yaml:"operators"`
}

// Planner holds the settings of the planner.
type Planner struct {
	Disabled      bool          `yaml:"disabled"`
	LeaseTTL      time.Duration `yaml:"lease"`
	Round         time.Duration `yaml:"round"`                    // interval between planning rounds
	WeightsRate   float64       `yaml:"weights_bytes_per_second"` // rate at which the store of the weights serves all engines together
	Margin        time.Duration `yaml:"margin"`                   // added to the estimated time to boot a VM and load a model
	BootTime      time.Duration `yaml:"boot"`                     // estimated boot time of a VM
	Recheck       time.Duration `yaml:"recheck"`                  // interval between state reads of an unchanged engine
	KVTransferTPS float64       `yaml:"move_tokens_per_second"`   // transfer rate of KV caches between engines
	MaxVMs        int           `yaml:"most_servers"`             // limit of bought VMs
	VMPrefix      string        `yaml:"vm_prefix"`
	// Spread makes the planner run enough servers of each model that its need is
	// met even if any one failure domain is lost. It is disabled only for
	// measurements.
	Spread       bool `yaml:"spread"`
	OnDemandOnly bool `yaml:"on_demand_only"`
}

// DefaultControl returns the values of fields that are not in the file.
func DefaultControl() Control {
	return Control{
		KV:    Service{Timeout: 2 * time.Second},
		Cloud: Service{Timeout: 2 * time.Second},
		Planner: Planner{LeaseTTL: 10 * time.Second, Round: time.Second, WeightsRate: 1e9, Margin: 30 * time.Second,
			BootTime: time.Minute, Recheck: 30 * time.Second, KVTransferTPS: 50000, MaxVMs: 1000, VMPrefix: "cr", Spread: true},
	}
}

// LoadControl reads and validates a settings file of crank-control.
func LoadControl(path string) (Control, error) {
	cfg := DefaultControl()
	err := load(path, &cfg)
	return cfg, err
}

func (c *Control) validate() error {
	var errs fieldErrors
	errs.requireText("node.name", c.Node.Name)
	errs.requireAddr("listen.operators", c.Listen.Operators)
	errs.requireURL("kv.url", c.KV.URL)
	errs.requireDuration("kv.timeout", c.KV.Timeout, 10*time.Millisecond, time.Minute)
	if !c.Planner.Disabled {
		errs.requireURL("cloud.url", c.Cloud.URL)
	}
	errs.requireText("secrets.peer", c.Secrets.Peer)
	errs.requireText("secrets.operator", c.Secrets.Operator)
	errs.requireDuration("planner.lease", c.Planner.LeaseTTL, 2*time.Second, 10*time.Minute)
	errs.requireDuration("planner.round", c.Planner.Round, 50*time.Millisecond, c.Planner.LeaseTTL/2)
	errs.requireDuration("planner.margin", c.Planner.Margin, 0, 24*time.Hour)
	errs.requireDuration("planner.boot", c.Planner.BootTime, 0, time.Hour)
	errs.requireDuration("planner.recheck", c.Planner.Recheck, 50*time.Millisecond, time.Hour)
	errs.requireInt("planner.most_servers", c.Planner.MaxVMs, 0, 100_000)
	errs.requireText("planner.vm_prefix", c.Planner.VMPrefix)
	if c.Planner.WeightsRate <= 0 || c.Planner.KVTransferTPS < 0 {
		errs.add("planner", "needs weights_bytes_per_second above 0 and move_tokens_per_second of at least 0")
	}
	return errs.join()
}
