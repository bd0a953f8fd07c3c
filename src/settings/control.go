package settings

import "time"

// Control is the settings of crank-control.
type Control struct {
	Node    Node          `yaml:"node"`
	Listen  ControlListen `yaml:"listen"`
	KV      Service       `yaml:"kv"`
	Cloud   Service       `yaml:"cloud"`
	Secrets Secrets       `yaml:"secrets"`
	Planner Planner       `yaml:"planner"`
}

// ControlListen is where crank-control listens.
type ControlListen struct {
	Operators string `yaml:"operators"`
}

// Planner sets the planner's loop.
type Planner struct {
	Disabled    bool          `yaml:"disabled"`
	Lease       time.Duration `yaml:"lease"`
	Round       time.Duration `yaml:"round"`
	WeightsRate float64       `yaml:"weights_bytes_per_second"`
	Margin      time.Duration `yaml:"margin"`
	Boot        time.Duration `yaml:"boot"`
	Recheck     time.Duration `yaml:"recheck"`
	MoveTPS     float64       `yaml:"move_tokens_per_second"`
	MaxServers  int           `yaml:"most_servers"`
	VMPrefix    string        `yaml:"vm_prefix"`
	// Spread false places without regard to failure domains, for measuring.
	Spread       bool `yaml:"spread"`
	OnDemandOnly bool `yaml:"on_demand_only"`
}

// DefaultControl is what holds where the file is silent.
func DefaultControl() Control {
	return Control{
		KV:    Service{Timeout: 2 * time.Second},
		Cloud: Service{Timeout: 2 * time.Second},
		Planner: Planner{Lease: 10 * time.Second, Round: time.Second, WeightsRate: 1e9, Margin: 30 * time.Second,
			Boot: time.Minute, Recheck: 30 * time.Second, MoveTPS: 50000, MaxServers: 1000, VMPrefix: "cr", Spread: true},
	}
}

// LoadControl reads and checks a settings file of crank-control.
func LoadControl(path string) (Control, error) {
	c := DefaultControl()
	return c, load(path, &c)
}

func (c *Control) check() error {
	var p problems
	p.needText("node.name", c.Node.Name)
	p.needAddr("listen.operators", c.Listen.Operators)
	p.needURL("kv.url", c.KV.URL)
	p.needTime("kv.timeout", c.KV.Timeout, 10*time.Millisecond, time.Minute)
	if !c.Planner.Disabled {
		p.needURL("cloud.url", c.Cloud.URL)
	}
	p.needText("secrets.peer", c.Secrets.Peer)
	p.needText("secrets.operator", c.Secrets.Operator)
	p.needTime("planner.lease", c.Planner.Lease, 2*time.Second, 10*time.Minute)
	p.needTime("planner.round", c.Planner.Round, 50*time.Millisecond, c.Planner.Lease/2)
	p.needTime("planner.margin", c.Planner.Margin, 0, 24*time.Hour)
	p.needTime("planner.boot", c.Planner.Boot, 0, time.Hour)
	p.needTime("planner.recheck", c.Planner.Recheck, 50*time.Millisecond, time.Hour)
	p.needRange("planner.most_servers", c.Planner.MaxServers, 0, 100_000)
	p.needText("planner.vm_prefix", c.Planner.VMPrefix)
	if c.Planner.WeightsRate <= 0 || c.Planner.MoveTPS < 0 {
		p.add("planner", "needs weights_bytes_per_second above 0 and move_tokens_per_second not below 0")
	}
	return p.err()
}
