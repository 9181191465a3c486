package cluster

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 15 * time.Second
)

// Process is a started program whose output goes to a log file.
type Process struct {
	command *exec.Cmd
	lines   chan string
	done    chan struct{}
	log     *os.File
	mu      sync.Mutex
	err     error
}

// start runs a program and appends its standard output and standard error to the file at logPath.
func start(logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	p := &Process{command: exec.Command(program, args...), lines: make(chan string, 64), done: make(chan struct{}), log: log}
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open standard output pipe")
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, program)
	}
	go p.collectOutput(bufio.NewScanner(out))
	return p, nil
}

// collectOutput logs the standard output, passes its lines to awaitLine and waits for the program to exit. Lines that do
// not fit into the channel's buffer are only logged, so that a program is not blocked when nothing calls awaitLine.
func (p *Process) collectOutput(scanner *bufio.Scanner) {
	for scanner.Scan() {
		// Write errors are ignored: a test that looks for the missing line fails.
		_, _ = p.log.WriteString(scanner.Text() + "\n")
		select {
		case p.lines <- scanner.Text():
		default:
		}
	}
	err := p.command.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// awaitLine waits for a line of output that starts with the keyword and returns the rest of the line.
func (p *Process) awaitLine(ctx context.Context, keyword string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		select {
		case text := <-p.lines:
			if rest, ok := strings.CutPrefix(text, keyword+" "); ok {
				return rest, nil
			}
		case <-p.done:
			return "", errors.Newf("%s exited before it printed %q", p.command.Path, keyword)
		case <-ctx.Done():
			return "", errors.Newf("%s did not print %q in time", p.command.Path, keyword)
		}
	}
}

// Signal sends s to the process. It has no effect once the process has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and returns the exit error. A process that does not exit in time is killed, which is an
// error.
func (p *Process) Terminate() error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(stopTimeout)
}

// Wait waits for the process to exit and returns its exit error. After the timeout it kills the process and returns an
// error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return errors.New("process did not exit in time and was killed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
