package proof

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSignalBeforeStart guards against an instance that a signal for changed settings ends because it comes while the settings are read
// for the first time (soak seed 106).
func TestSignalBeforeStart(t *testing.T) {
	t.Parallel()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	instance := exec.Command(filepath.Join(binaries, "siskincoved"), settings)
	if err := instance.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- instance.Wait() }()
	defer func() {
		_ = instance.Process.Kill()
		<-ended
	}()
	// The instance waits for the other end of the pipe.
	time.Sleep(500 * time.Millisecond)
	if err := instance.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Errorf("the instance ended: %v", err)
		ended <- err
	case <-time.After(500 * time.Millisecond):
	}
}
