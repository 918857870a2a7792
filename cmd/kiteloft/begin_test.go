package main

import (
	"syscall"
	"testing"
	"time"
)

// Tests of starts and new configurations that meet something half done.

// TestAStartWhileTheConfigurationIsWritten: the file is there in half at first.
func TestAStartWhileTheConfigurationIsWritten(t *testing.T) {
	t.Parallel()
	b := &bed{torn: 300 * time.Millisecond}
	b.pair(t, platformWire{}, sound, nil)
	b.run(t, settings) // until it is ready
}

// TestAStartWhileTheAddressIsTaken by a process that is about to end.
func TestAStartWhileTheAddressIsTaken(t *testing.T) {
	t.Parallel()
	ln := listen(t)
	time.AfterFunc(400*time.Millisecond, func() { _ = ln.Close() })
	b := &bed{listen: ln.Addr().String()}
	b.pair(t, platformWire{}, sound, nil)
	b.run(t, settings) // until it is ready
}

// TestAHangUpWhileTheConfigurationIsWritten: the new configuration holds once it is whole, though
// nobody says so again.
func TestAHangUpWhileTheConfigurationIsWritten(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	other := b.Serve()
	b.configure(t, other)
	if err := b.Tear(300 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if err := b.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	b.wait(t, "the new discovery is asked", func() bool { return b.Calls(other) > 0 })
}

// TestASignalToEndWhileTheConfigurationIsWritten is heard at once.
func TestASignalToEndWhileTheConfigurationIsWritten(t *testing.T) {
	t.Parallel()
	b := start(t, platformWire{}, sound)
	if err := b.Tear(time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		if err := b.Cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	told := time.Now()
	b.wait(t, "it begins to end", func() bool { return b.Logged("mixer ends") > 0 })
	if took := time.Since(told); took > 500*time.Millisecond {
		t.Errorf("heard after %v", took)
	}
}
