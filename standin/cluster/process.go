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
	startLimit = 10 * time.Second
	stopLimit  = 15 * time.Second
)

// Process is a started program; its output and standard error go to a file.
type Process struct {
	command *exec.Cmd
	lines   chan string
	done    chan struct{}
	log     *os.File
	mu      sync.Mutex
	err     error
}

// start runs a program with its output and standard error in the file at logPath.
func start(logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	p := &Process{command: exec.Command(program, args...), lines: make(chan string, 64), done: make(chan struct{}), log: log}
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "standard output")
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, program)
	}
	go p.read(bufio.NewScanner(out))
	return p, nil
}

func (p *Process) read(scanner *bufio.Scanner) {
	for scanner.Scan() {
		// A line that can't be kept is missed by the tests that look for it.
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

// expect returns what follows the given word on the next line of output that starts with it.
func (p *Process) expect(ctx context.Context, word string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		select {
		case text := <-p.lines:
			if rest, ok := strings.CutPrefix(text, word+" "); ok {
				return rest, nil
			}
		case <-p.done:
			return "", errors.Newf("%s ended before it printed %q", p.command.Path, word)
		case <-ctx.Done():
			return "", errors.Newf("%s did not print %q", p.command.Path, word)
		}
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate asks the process to end and returns its exit error, or kills it when it takes too long.
func (p *Process) Terminate() error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(stopLimit)
}

// Wait returns the process's exit error once it has ended, and kills it after the limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(limit):
		p.Kill()
		return errors.New("process did not end in time and was killed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
