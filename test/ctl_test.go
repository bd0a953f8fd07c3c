package test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/standin"
)

// ctl runs crankctl and returns its output and exit code.
func (b *testbed) ctl(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binaries, "crankctl"), append([]string{"--control", strings.Join(b.controls, ","), "--token", token}, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	return string(out), 0
}

// crankctl must report success, conflicts and an outage by its output and exit code.
func TestCommandLine(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "r.yaml")
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	models := "kind: model\nname: one\nmodel: {bytes: 5, version: \"1\"}\n---\nkind: model\nname: two\nmodel: {bytes: 6, version: \"1\"}\n"
	out, code := b.ctl("apply", "-f", file(models), "--wait")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force on all 3 nodes"))

	for _, sample := range []string{"trust", "mwakyusa"} {
		out, code = b.ctl("apply", "-f", "../samples/"+sample+".yaml", "--dry-run")
		is.Equal(code, 0)
		is.True(strings.Contains(out, "event/"))
	}

	exported, code := b.ctl("edit", "model", "one")
	is.Equal(code, 0)
	edited := file(strings.Replace(exported, "bytes: 5", "bytes: 7", 1))
	_, code = b.ctl("apply", "-f", edited)
	is.Equal(code, 0)
	out, code = b.ctl("apply", "-f", edited) // based on an outdated version
	is.Equal(code, 3)
	is.True(strings.Contains(out, "another version"))

	out, code = b.ctl("apply", "-f", file("kind: model\nname: x\nmodel: {bytes: 1, colour: red}\n"))
	is.Equal(code, 1)
	is.True(strings.Contains(out, `unknown field "colour"`))
	_, code = b.ctl("apply", "-f", file("kind: model\nname: dry\nmodel: {bytes: 1, version: \"1\"}\n"), "--dry-run")
	is.Equal(code, 0)
	_, code = b.ctl("get", "model", "dry")
	is.Equal(code, 1)

	r := b.nodes[0].send(bookingRequest("explained"))
	is.Equal(r.status, 200)
	out, code = b.ctl("explain", "request", "clinics/explained")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "claimed") && strings.Contains(out, "called"))
	out, code = b.ctl("status")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "node-00") && strings.Contains(out, "engine-0"))
	out, code = b.ctl("dump")
	is.Equal(code, 0)
	is.Equal(strings.Count(out, `"uptime_s"`), 4) // three nodes and one control

	b.kvFaults(standin.KVFaults{Down: true})
	_, code = b.ctl("apply", "-f", file(models))
	is.Equal(code, 4)
	_, code = b.ctl("delete", "model", "one")
	is.Equal(code, 4)
}
