package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
)

// ErrRefused says that the cloud has no such VM to give now.
var ErrRefused = errors.New("cloud refused the VM")

// VMState is a VM's place in its life, as the cloud tells it.
type VMState string

// The states of a VM. A terminated VM runs nothing any more.
const (
	VMBooting    VMState = "booting"
	VMRunning    VMState = "running"
	VMLeaving    VMState = "leaving"
	VMTerminated VMState = "terminated"
)

// VM is one row of the VM list.
type VM struct {
	ID            string  `json:"id"`
	Name          string  `json:"name"` // the buyer's name for it; unique among living VMs
	Class         string  `json:"class"`
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region"`
	Reclaimable   bool    `json:"reclaimable"`
	State         VMState `json:"state"`
	Address       string  `json:"address"`     // host:port of what runs on it
	Role          string  `json:"role"`        // "entry", "engine" or "service"
	Service       string  `json:"service"`     // name of the plain service, for that role
	DeadlineMS    int64   `json:"deadline_ms"` // Unix ms at which a leaving VM is gone
	HourPrice     float64 `json:"hour_price"`
}

// Offer is one class of VM that can be bought in one failure domain.
type Offer struct {
	Class         string  `json:"class"`
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region"`
	Reclaimable   bool    `json:"reclaimable"`
	HourPrice     float64 `json:"hour_price"`
	ReclaimPerDay float64 `json:"reclaim_per_day"` // chance that one VM is taken back in a day
	BootMS        int64   `json:"boot_ms"`
}

// Cloud is a client of the cloud API.
type Cloud struct {
	base   string
	client *http.Client
	mu     sync.Mutex
	etag   string
	vms    []VM
}

// NewCloud returns a client of the cloud API at base (a URL).
func NewCloud(base string, timeout time.Duration) *Cloud {
	return &Cloud{base: base, client: &http.Client{Timeout: timeout}}
}

// VMs returns the VM list, which lags behind the truth.
// An unchanged list costs a short answer only.
func (c *Cloud) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, oops.Wrapf(err, "request VM list")
	}
	req.Header.Set("If-None-Match", c.etag)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, oops.Wrapf(errors.Join(ErrUnavailable, err), "read VM list")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.vms, nil
	case http.StatusOK:
	default:
		return nil, oops.Wrapf(ErrUnavailable, "VM list answered %d", resp.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&vms); err != nil {
		return nil, oops.Wrapf(errors.Join(ErrUnavailable, err), "decode VM list")
	}
	c.vms, c.etag = vms, resp.Header.Get("ETag")
	return vms, nil
}

// Offers returns what can be bought.
func (c *Cloud) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	err := c.do(ctx, http.MethodGet, "/v1/offers", nil, &out)
	return out, err
}

// Buy asks for a VM by a name of the buyer's. Asking again by the same name
// returns the same VM. ErrRefused says there is none now.
func (c *Cloud) Buy(ctx context.Context, name string, o Offer) (VM, error) {
	var out VM
	err := c.do(ctx, http.MethodPut, "/v1/vms/"+name, o, &out)
	return out, err
}

// Terminate gives a VM back by its buyer's name; an unknown name is not an error.
func (c *Cloud) Terminate(ctx context.Context, name string) error {
	return c.do(ctx, http.MethodDelete, "/v1/vms/"+name, nil, nil)
}

// Notice asks for a reclaim notice of the VM with this ID; ok is false when there is none.
func (c *Cloud) ReclaimNotice(ctx context.Context, id string) (deadline time.Time, ok bool, err error) {
	var out VM
	if err := c.do(ctx, http.MethodGet, "/metadata/"+id+"/notice", nil, &out); err != nil {
		return time.Time{}, false, err
	}
	if out.DeadlineMS == 0 {
		return time.Time{}, false, nil
	}
	return time.UnixMilli(out.DeadlineMS), true, nil
}

func (c *Cloud) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return oops.Wrapf(err, "encode %s", path)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return oops.Wrapf(err, "request %s", path)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return oops.Wrapf(errors.Join(ErrUnavailable, err), "call %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return oops.Wrapf(ErrRefused, "%s", path)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return oops.Wrapf(ErrUnavailable, "%s answered %d", path, resp.StatusCode)
	case out == nil:
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out)
}
