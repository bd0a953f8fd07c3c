package process

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReloadOnSignalAndFileChange(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte("one"), 0o600))
	load := func(path string) (string, error) {
		raw, err := os.ReadFile(path)
		if string(raw) == "wrong" {
			return "", errors.New("wrong")
		}
		return string(raw), err
	}
	applied := make(chan string, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Reload(ctx, path, load, func(text string) { applied <- text })
	next := func() string {
		select {
		case text := <-applied:
			return text
		case <-time.After(5 * time.Second):
			return "nothing"
		}
	}
	time.Sleep(100 * time.Millisecond)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // must not terminate the process
	is.Equal(next(), "one")
	write := func(text string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	write("wrong", time.Now().Add(time.Hour))
	time.Sleep(2 * pollInterval)
	write("two", time.Now().Add(2*time.Hour))
	is.Equal(next(), "two") // the invalid settings were not applied
	write("three", time.Now().Add(-time.Hour))
	is.Equal(next(), "three") // a file may be replaced by one that is older
}

// Guards against settings of which only the beginning had been written when they were applied.
func TestReloadReadsNoFileThatIsBeingWritten(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte("old"), 0o600))
	load := func(path string) (string, error) {
		raw, err := os.ReadFile(path)
		return string(raw), err
	}
	applied := make(chan string, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Reload(ctx, path, load, func(text string) { applied <- text })
	file, err := os.Create(path)
	is.NoErr(err)
	want := ""
	for began := time.Now(); time.Since(began) < 2*pollInterval; time.Sleep(10 * time.Millisecond) {
		_, err = file.WriteString("line\n")
		is.NoErr(err)
		want += "line\n"
	}
	is.NoErr(file.Close())
	select {
	case text := <-applied:
		is.Equal(text, want)
	case <-time.After(5 * time.Second):
		t.Fatal("the new settings were not applied")
	}
}
