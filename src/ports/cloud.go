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

// ErrRefused is returned by Cloud if the cloud has no VM of the requested class
// available. Package platform returns ErrNoCapacity for the same condition.
var ErrRefused = errors.New("cloud refused the VM request")

// VMState is the lifecycle state of a VM as reported by the cloud.
type VMState string

// The states of a VM. No process runs on a terminated VM any more.
const (
	VMBooting    VMState = "booting"
	VMRunning    VMState = "running"
	VMLeaving    VMState = "leaving"
	VMTerminated VMState = "terminated"
)

// VM is an entry of the VM list.
type VM struct {
	ID            string  `json:"id"`
	Name          string  `json:"name"` // chosen by the client; unique among VMs that are not terminated
	Class         string  `json:"class"`
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region"`
	Reclaimable   bool    `json:"reclaimable"`
	State         VMState `json:"state"`
	Address       string  `json:"address"`     // host:port of the process on it
	Role          string  `json:"role"`        // "entry", "engine" or "service"
	Service       string  `json:"service"`     // name of the plain service, for role "service"
	DeadlineMS    int64   `json:"deadline_ms"` // Unix ms at which a leaving VM terminates
	HourPrice     float64 `json:"hour_price"`
}

// Offer is a class of VM available in a failure domain.
type Offer struct {
	Class         string  `json:"class"`
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region"`
	Reclaimable   bool    `json:"reclaimable"`
	HourPrice     float64 `json:"hour_price"`
	ReclaimPerDay float64 `json:"reclaim_per_day"` // expected number of reclaims of a VM per day
	BootMS        int64   `json:"boot_ms"`         // duration of a boot, ms
}

// Cloud is a client of the cloud API.
type Cloud struct {
	base   string
	client *http.Client
	mu     sync.Mutex
	etag   string
	vms    []VM
}

// NewCloud returns a client of the cloud API at the URL base.
func NewCloud(base string, timeout time.Duration) *Cloud {
	return &Cloud{base: base, client: &http.Client{Timeout: timeout}}
}

// VMs returns the VM list, which is eventually consistent. An unchanged list is
// not transferred again.
func (c *Cloud) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, oops.Wrapf(err, "create VM list request")
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
		return nil, oops.Wrapf(ErrUnavailable, "VM list: unexpected status %d", resp.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vms); err != nil {
		return nil, oops.Wrapf(errors.Join(ErrUnavailable, err), "decode VM list")
	}
	c.vms, c.etag = vms, resp.Header.Get("ETag")
	return vms, nil
}

// Offers returns the available classes of VMs.
func (c *Cloud) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	err := c.do(ctx, http.MethodGet, "/v1/offers", nil, &out)
	return out, err
}

// Buy requests a VM under a name chosen by the client. It is idempotent: the
// same name returns the same VM. It returns ErrRefused if none is available.
func (c *Cloud) Buy(ctx context.Context, name string, o Offer) (VM, error) {
	var out VM
	err := c.do(ctx, http.MethodPut, "/v1/vms/"+name, o, &out)
	return out, err
}

// Terminate terminates the VM with the given name; an unknown name is not an error.
func (c *Cloud) Terminate(ctx context.Context, name string) error {
	return c.do(ctx, http.MethodDelete, "/v1/vms/"+name, nil, nil)
}

// ReclaimNotice returns the deadline of the reclaim notice for the VM with this
// ID; ok is false if there is none.
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
		return oops.Wrapf(err, "create request %s", path)
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
		return oops.Wrapf(ErrUnavailable, "%s: unexpected status %d", path, resp.StatusCode)
	case out == nil:
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}
