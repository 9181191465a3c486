package proof

import (
	"os"
	"os/exec"
	"testing"

	"github.com/cockroachdb/errors"
)

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// exitCode returns the exit code of a command that returned err, or -1 if the command could not be run.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return -1
}
