package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/ports"
)

// CloudFaults are the ways in which the cloud can fail.
type CloudFaults struct {
	Refuse        []string `json:"refuse"` // failure domains, or "reclaimable", or "all"
	LagMS         int      `json:"lag_ms"` // age of the VM list
	DropResponses int      `json:"lose_answers"`
	Down          bool     `json:"down"`
}

// Cloud sells VMs. A bought VM runs a model engine inside this process; VMs
// declared at the start may be anything.
type Cloud struct {
	mu      sync.Mutex
	vms     map[string]*cloudVM
	offers  []ports.Offer
	faults  CloudFaults
	shape   EngineShape
	weights string
	past    []cloudList
	bought  int
	hours   float64 // price-hours of VMs that are gone
}

type cloudVM struct {
	ports.VM
	since  time.Time
	engine *Engine
	server *http.Server
}

type cloudList struct {
	at   time.Time
	list []ports.VM
}

const (
	cloudTick = 100 * time.Millisecond
	listKept  = 15 * time.Second
)

// NewCloud returns a cloud with the given VMs already running.
func NewCloud(vms []ports.VM, offers []ports.Offer, shape EngineShape, weights string) *Cloud {
	c := &Cloud{vms: map[string]*cloudVM{}, offers: offers, shape: shape, weights: weights}
	for _, vm := range vms {
		vm.State = ports.VMRunning
		c.vms[vm.Name] = &cloudVM{VM: vm, since: time.Now()}
	}
	go c.run()
	return c
}

// Handler serves the cloud API, the metadata service and the admin calls.
func (c *Cloud) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", c.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/offers", c.serveOffers).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{name}", c.serveBuy).Methods(http.MethodPut)
	r.HandleFunc("/v1/vms/{name}", c.serveTerminate).Methods(http.MethodDelete)
	r.HandleFunc("/metadata/{id}/notice", c.serveNotice)
	r.HandleFunc("/admin/faults", c.setFaults)
	r.HandleFunc("/admin/reclaim", c.serveReclaim)
	r.HandleFunc("/admin/cost", c.serveCost)
	return r
}

func (c *Cloud) run() {
	for range time.Tick(cloudTick) {
		c.mu.Lock()
		now := time.Now()
		for _, vm := range c.vms {
			if vm.State == ports.VMLeaving && now.UnixMilli() >= vm.DeadlineMS {
				c.end(vm)
			}
		}
		c.past = append(c.past, cloudList{at: now, list: c.list()})
		for len(c.past) > 1 && now.Sub(c.past[0].at) > listKept {
			c.past = c.past[1:]
		}
		c.mu.Unlock()
	}
}

func (c *Cloud) list() []ports.VM {
	var out []ports.VM
	for _, vm := range c.vms {
		out = append(out, vm.VM)
	}
	return out
}

func (c *Cloud) end(vm *cloudVM) {
	if vm.State == ports.VMTerminated {
		return
	}
	vm.State = ports.VMTerminated
	c.hours += time.Since(vm.since).Hours() * vm.HourPrice
	if vm.engine != nil {
		vm.engine.Stop()
		_ = vm.server.Close()
	}
}

func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Down {
		panic(http.ErrAbortHandler)
	}
	out := c.list()
	if lag := time.Duration(c.faults.LagMS) * time.Millisecond; lag > 0 {
		for _, p := range c.past {
			if time.Since(p.at) >= lag {
				out = slices.Clone(p.list)
			}
		}
	}
	slices.SortFunc(out, func(a, b ports.VM) int { return strings.Compare(a.Name, b.Name) })
	raw, _ := json.Marshal(out)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(raw), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (c *Cloud) serveOffers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.offers)
}

func (c *Cloud) serveBuy(w http.ResponseWriter, r *http.Request) {
	var o ports.Offer
	if !readJSON(w, r, &o) {
		return
	}
	name := mux.Vars(r)["name"]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Down {
		panic(http.ErrAbortHandler)
	}
	vm, have := c.vms[name]
	if !have {
		if c.refuses(o) {
			http.Error(w, "no capacity", http.StatusConflict)
			return
		}
		vm = c.boot(name, o)
	}
	if c.faults.DropResponses > 0 {
		c.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, vm.VM)
}

func (c *Cloud) refuses(o ports.Offer) bool {
	for _, f := range c.faults.Refuse {
		if f == "all" || f == o.FailureDomain || (f == "reclaimable" && o.Reclaimable) {
			return true
		}
	}
	return false
}

func (c *Cloud) boot(name string, o ports.Offer) *cloudVM {
	c.bought++
	vm := &cloudVM{since: time.Now(), VM: ports.VM{
		ID: fmt.Sprintf("vm-%d", c.bought), Name: name, Class: o.Class, FailureDomain: o.FailureDomain,
		Region: o.Region, Reclaimable: o.Reclaimable, State: ports.VMBooting, Role: "engine", HourPrice: o.HourPrice,
	}}
	c.vms[name] = vm
	time.AfterFunc(time.Duration(o.BootMS)*time.Millisecond, func() { c.start(vm) })
	return vm
}

func (c *Cloud) start(vm *cloudVM) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || vm.State != ports.VMBooting {
		return
	}
	vm.Address = ln.Addr().String()
	vm.engine = NewEngine(vm.Name, c.shape, c.weights)
	vm.server = &http.Server{Handler: vm.engine.Handler()}
	vm.State = ports.VMRunning
	go func() { _ = vm.server.Serve(ln) }()
}

func (c *Cloud) serveTerminate(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if vm := c.vms[mux.Vars(r)["name"]]; vm != nil {
		c.end(vm)
	}
}

func (c *Cloud) serveNotice(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range c.vms {
		if vm.ID == mux.Vars(r)["id"] && vm.State == ports.VMLeaving {
			writeJSON(w, http.StatusOK, vm.VM)
			return
		}
	}
	writeJSON(w, http.StatusOK, ports.VM{})
}

// Reclaim names what the cloud takes back: one VM, or a failure domain's
// reclaimable VMs of a role.
type ReclaimRequest struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"` // "" for all
	NoticeMS      int64  `json:"notice_ms"`
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var q ReclaimRequest
	if !readJSON(w, r, &q) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().UnixMilli() + q.NoticeMS
	taken := 0
	for _, vm := range c.vms {
		wave := q.Name == "" && vm.FailureDomain == q.FailureDomain && vm.Reclaimable && (q.Role == "" || q.Role == vm.Role)
		if vm.State == ports.VMTerminated || vm.State == ports.VMLeaving || !(wave || vm.Name == q.Name) {
			continue
		}
		vm.State = ports.VMLeaving
		vm.DeadlineMS = deadline
		taken++
		c.tell(vm)
	}
	writeJSON(w, http.StatusOK, map[string]int{"taken": taken})
}

// tell lets the engine on the VM know that it is leaving.
func (c *Cloud) tell(vm *cloudVM) {
	switch {
	case vm.engine != nil:
		vm.engine.Leave(vm.DeadlineMS)
	case vm.Role == "engine":
		go func(addr string, at int64) {
			_ = post("http://"+addr+"/admin/leave", map[string]int64{"deadline_ms": at})
		}(vm.Address, vm.DeadlineMS)
	}
}

func (c *Cloud) setFaults(w http.ResponseWriter, r *http.Request) {
	var f CloudFaults
	if !readJSON(w, r, &f) {
		return
	}
	c.mu.Lock()
	c.faults = f
	c.mu.Unlock()
}

// CloudCost tells what was spent.
type CloudCost struct {
	Bought  int     `json:"bought"`
	Price   float64 `json:"price"` // in the currency of the offers' hour price
	Running int     `json:"living"`
}

func (c *Cloud) serveCost(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CloudCost{Bought: c.bought, Price: c.hours}
	for _, vm := range c.vms {
		if vm.State != ports.VMTerminated {
			out.Running++
			out.Price += time.Since(vm.since).Hours() * vm.HourPrice
		}
	}
	writeJSON(w, http.StatusOK, out)
}
