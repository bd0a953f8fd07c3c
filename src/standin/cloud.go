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

// CloudFaults are the faults that the cloud simulates.
type CloudFaults struct {
	Refuse        []string `json:"refuse"`       // offers refused: failure domains, "reclaimable" or "all"
	LagMS         int      `json:"lag_ms"`       // age of the VM list served, ms
	DropResponses int      `json:"lose_answers"` // number of creations to perform without a response
	Down          bool     `json:"down"`
}

// Cloud simulates a cloud provider's API. A created VM runs a model engine inside
// this process; the VMs passed to NewCloud are only listed.
type Cloud struct {
	mu             sync.Mutex
	vms            map[string]*cloudVM
	offers         []ports.Offer
	faults         CloudFaults
	shape          EngineShape
	weights        string       // address of the weight store
	snapshots      []vmSnapshot // recent VM lists, for the lag fault
	createdVMs     int
	terminatedCost float64 // cost of terminated VMs
}

type cloudVM struct {
	ports.VM
	created time.Time
	engine  *Engine
	server  *http.Server
}

type vmSnapshot struct {
	time time.Time
	vms  []ports.VM
}

const (
	cloudTickInterval = 100 * time.Millisecond
	listRetention     = 15 * time.Second
)

// NewCloud returns a cloud in which the given VMs are already running. weights is
// the address of the weight store that the engines of created VMs load from.
func NewCloud(vms []ports.VM, offers []ports.Offer, shape EngineShape, weights string) *Cloud {
	c := &Cloud{vms: map[string]*cloudVM{}, offers: offers, shape: shape, weights: weights}
	for _, vm := range vms {
		vm.State = ports.VMRunning
		c.vms[vm.Name] = &cloudVM{VM: vm, created: time.Now()}
	}
	go c.run()
	return c
}

// Handler serves the cloud API, the metadata service and the admin API.
func (c *Cloud) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", c.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/offers", c.serveOffers).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{name}", c.serveCreate).Methods(http.MethodPut)
	r.HandleFunc("/v1/vms/{name}", c.serveTerminate).Methods(http.MethodDelete)
	r.HandleFunc("/metadata/{id}/notice", c.serveNotice)
	r.HandleFunc("/admin/faults", c.serveFaults)
	r.HandleFunc("/admin/reclaim", c.serveReclaim)
	r.HandleFunc("/admin/cost", c.serveCost)
	return r
}

func (c *Cloud) run() {
	for range time.Tick(cloudTickInterval) {
		c.mu.Lock()
		now := time.Now()
		for _, vm := range c.vms {
			if vm.State == ports.VMLeaving && now.UnixMilli() >= vm.DeadlineMS {
				c.terminate(vm)
			}
		}
		c.snapshots = append(c.snapshots, vmSnapshot{time: now, vms: c.list()})
		for len(c.snapshots) > 1 && now.Sub(c.snapshots[0].time) > listRetention {
			c.snapshots = c.snapshots[1:]
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

func (c *Cloud) terminate(vm *cloudVM) {
	if vm.State == ports.VMTerminated {
		return
	}
	vm.State = ports.VMTerminated
	c.terminatedCost += time.Since(vm.created).Hours() * vm.HourPrice
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
		for _, p := range c.snapshots {
			if time.Since(p.time) >= lag {
				out = slices.Clone(p.vms)
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

func (c *Cloud) serveCreate(w http.ResponseWriter, r *http.Request) {
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
	vm, exists := c.vms[name]
	if !exists {
		if c.refusesOffer(o) {
			http.Error(w, "no capacity", http.StatusConflict)
			return
		}
		vm = c.create(name, o)
	}
	if c.faults.DropResponses > 0 {
		c.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, vm.VM)
}

func (c *Cloud) refusesOffer(o ports.Offer) bool {
	for _, f := range c.faults.Refuse {
		if f == "all" || f == o.FailureDomain || (f == "reclaimable" && o.Reclaimable) {
			return true
		}
	}
	return false
}

func (c *Cloud) create(name string, o ports.Offer) *cloudVM {
	c.createdVMs++
	vm := &cloudVM{created: time.Now(), VM: ports.VM{
		ID: fmt.Sprintf("vm-%d", c.createdVMs), Name: name, Class: o.Class, FailureDomain: o.FailureDomain,
		Region: o.Region, Reclaimable: o.Reclaimable, State: ports.VMBooting, Role: "engine", HourPrice: o.HourPrice,
	}}
	c.vms[name] = vm
	time.AfterFunc(time.Duration(o.BootMS)*time.Millisecond, func() { c.startEngine(vm) })
	return vm
}

func (c *Cloud) startEngine(vm *cloudVM) {
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
		c.terminate(vm)
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

// ReclaimRequest selects the VMs to reclaim: the one named, or the reclaimable
// VMs of a failure domain and role.
type ReclaimRequest struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`      // "" for all
	NoticeMS      int64  `json:"notice_ms"` // time from the notice to the termination, ms
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var req ReclaimRequest
	if !readJSON(w, r, &req) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().UnixMilli() + req.NoticeMS
	reclaimed := 0
	for _, vm := range c.vms {
		inDomain := req.Name == "" && vm.FailureDomain == req.FailureDomain && vm.Reclaimable && (req.Role == "" || req.Role == vm.Role)
		if vm.State == ports.VMTerminated || vm.State == ports.VMLeaving || !(inDomain || vm.Name == req.Name) {
			continue
		}
		vm.State = ports.VMLeaving
		vm.DeadlineMS = deadline
		reclaimed++
		c.notifyEngine(vm)
	}
	writeJSON(w, http.StatusOK, map[string]int{"taken": reclaimed})
}

// notifyEngine tells the engine on the VM when the VM will be reclaimed.
func (c *Cloud) notifyEngine(vm *cloudVM) {
	switch {
	case vm.engine != nil:
		vm.engine.Leave(vm.DeadlineMS)
	case vm.Role == "engine":
		go func(addr string, at int64) {
			_ = postJSON("http://"+addr+"/admin/leave", map[string]int64{"deadline_ms": at})
		}(vm.Address, vm.DeadlineMS)
	}
}

func (c *Cloud) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f CloudFaults
	if !readJSON(w, r, &f) {
		return
	}
	c.mu.Lock()
	c.faults = f
	c.mu.Unlock()
}

// CloudCost is the cost of all VMs so far.
type CloudCost struct {
	Bought int     `json:"bought"` // VMs created through the API
	Price  float64 `json:"price"`  // in the currency of the offers' hour price
	Active int     `json:"living"` // VMs that are not terminated
}

func (c *Cloud) serveCost(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CloudCost{Bought: c.createdVMs, Price: c.terminatedCost}
	for _, vm := range c.vms {
		if vm.State != ports.VMTerminated {
			out.Active++
			out.Price += time.Since(vm.created).Hours() * vm.HourPrice
		}
	}
	writeJSON(w, http.StatusOK, out)
}
