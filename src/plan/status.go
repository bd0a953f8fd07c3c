package plan

import (
	"fmt"
	"strconv"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/event"
)

const nameBase = 36 // base of the number at the end of VM names

func base36(v int64) string { return strconv.FormatInt(v, nameBase) }

// EventFacts collects the facts that determine the phase of an event.
func EventFacts(ev catalog.Resource, in Input, res Result, serversByService map[string]int) event.Facts {
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
		if remaining := ServersAfterDomainLoss(n.Ready, in.Params.SpreadDomains); remaining < n.Servers {
			f.Missing = append(f.Missing, fmt.Sprintf("model %s: %d of %d servers would be left if a failure domain were lost", m.Name, max(remaining, 0), n.Servers))
			f.Blocked = append(f.Blocked, n.Refused...)
		}
	}
	for _, s := range e.Services {
		if _, ok := in.Catalog.Services[s]; !ok {
			f.Blocked = append(f.Blocked, "service "+s+" does not exist")
		} else if serversByService[s] == 0 {
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
