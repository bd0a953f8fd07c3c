package plan

import (
	"fmt"
	"strconv"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/event"
)

const base = 36

func base36(v int64) string { return strconv.FormatInt(v, base) }

// FactsOf gathers what an event's phase follows from.
func EventFacts(ev catalog.Resource, in Input, res Result, servicesUp map[string]int) event.Facts {
	e := ev.Event
	f := event.Facts{Start: e.Start, End: e.End, Lead: LeadTime(e, in.Catalog.Models, in.Params), Now: in.Now}
	for _, m := range e.Models {
		n := res.Needs[m.Name]
		if n == nil {
			f.Blocked = append(f.Blocked, "model "+m.Name+" does not exist")
			continue
		}
		for _, a := range m.Adapters {
			if _, ok := in.Catalog.Adapters[a]; !ok {
				f.Blocked = append(f.Blocked, "adapter "+a+" does not exist")
			}
		}
		if left := ServersAfterDomainLoss(n.Ready, in.Params.SpreadDomains); left < n.Servers {
			f.Missing = append(f.Missing, fmt.Sprintf("model %s: %d of %d servers would be left if a failure domain were lost", m.Name, max(left, 0), n.Servers))
			f.Blocked = append(f.Blocked, n.Refused...)
		}
	}
	for _, s := range e.Services {
		if _, ok := in.Catalog.Services[s]; !ok {
			f.Blocked = append(f.Blocked, "service "+s+" does not exist")
		} else if servicesUp[s] == 0 {
			f.Missing = append(f.Missing, "service "+s+": no server")
		}
	}
	for _, c := range e.Customers {
		if _, ok := in.Catalog.Customers[c.Name]; !ok {
			f.Blocked = append(f.Blocked, "customer "+c.Name+" does not exist")
		}
	}
	return f
}
