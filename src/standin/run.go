package standin

import (
	"context"
	"net"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/settings"
)

// Run serves the fakes that the settings list until ctx is done.
func Run(ctx context.Context, set settings.Standin) error {
	var servers []*http.Server
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	listen := func(name, addr string, h http.Handler) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: h}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(ln) }()
		klog.V(1).InfoS("standin", "name", name, "addr", addr)
		return nil
	}
	for _, f := range newFakes(set) {
		if err := listen(f.name, f.addr, f.handler); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

type fake struct {
	name, addr string
	handler    http.Handler
}

func newFakes(set settings.Standin) []fake {
	var out []fake
	if set.KV != nil {
		out = append(out, fake{"kv", set.KV.Listen, NewKV().Handler()})
	}
	if set.Weights != nil {
		out = append(out, fake{"weights", set.Weights.Listen, NewWeights(set.Weights.Rate).Handler()})
	}
	for _, e := range set.Engines {
		version := e.Version
		if version == "" {
			version = "1"
		}
		var models []engine.LoadedModel
		for _, m := range e.Models {
			models = append(models, engine.LoadedModel{Name: m, Version: version})
		}
		out = append(out, fake{e.Name, e.Listen, NewEngine(e.Name, EngineShape(e.Shape), e.Weights, models...).Handler()})
	}
	for _, s := range set.Services {
		out = append(out, fake{s.Name, s.Listen, NewService(s.Name, s.ChecksFencing).Handler()})
	}
	if set.Cloud != nil {
		out = append(out, fake{"cloud", set.Cloud.Listen, newCloud(*set.Cloud).Handler()})
	}
	return out
}

func newCloud(c settings.StandinCloud) *Cloud {
	var vms []ports.VM
	for _, v := range c.VMs {
		vms = append(vms, ports.VM{
			ID: v.Name, Name: v.Name, Class: v.Class, FailureDomain: v.FailureDomain, Region: v.Region, Reclaimable: v.Reclaimable,
			Address: v.Address, Role: v.Role, Service: v.Service, HourPrice: v.HourPrice,
		})
	}
	var offers []ports.Offer
	for _, o := range c.Offers {
		offers = append(offers, ports.Offer{
			Class: o.Class, FailureDomain: o.FailureDomain, Region: o.Region, Reclaimable: o.Reclaimable,
			HourPrice: o.HourPrice, ReclaimPerDay: o.ReclaimPerDay, BootMS: o.Boot.Milliseconds(),
		})
	}
	return NewCloud(vms, offers, EngineShape(c.Shape), c.Weights)
}
