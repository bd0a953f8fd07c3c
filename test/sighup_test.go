package test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A SIGHUP that arrives during startup must not terminate the process.
func TestSIGHUPDuringStartup(t *testing.T) {
	is := is.New(t)
	for i := range 12 {
		path := filepath.Join(t.TempDir(), "settings")
		text := fmt.Sprintf("NodeName=n\nZone=z\nListenAddresses.Front=%s\nListenAddresses.Control=%s\nPlatformSettings.Address=%s\n", freeAddr(t), freeAddr(t), freeAddr(t))
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		p := &proc{t: t, name: "n", path: path, log: path + ".log"}
		p.launch("crank-gateway")
		time.Sleep(time.Duration(4+i) * time.Millisecond) // a different point of the startup each time
		p.signal(syscall.SIGHUP)
		exited := p.waitExit(300 * time.Millisecond)
		p.kill()
		is.True(!exited)
	}
}
