package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Usage is the resources that a process has used so far.
type Usage struct {
	// CPU is the processor time in user and system mode.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

const (
	// ticksPerSecond and pageBytes are those of Linux on amd64. The stat constants are positions after the program name
	// in /proc/PID/stat.
	ticksPerSecond    = 100
	pageBytes         = 4096
	statUserTicks     = 11
	statSystemTicks   = 12
	statResidentPages = 21
)

// Usage reads the resources that the process has used so far from /proc.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read resource usage")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResidentPages {
		return Usage{}, errors.New("read resource usage: too few fields in /proc/PID/stat")
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	ticks := number(statUserTicks) + number(statSystemTicks)
	return Usage{CPU: time.Duration(ticks) * time.Second / ticksPerSecond, Resident: number(statResidentPages) * pageBytes}, nil
}

// StartRelay starts a plain TCP relay to an address, as a baseline, and returns its process and address.
func (c *Cluster) StartRelay(target string) (*Process, string, error) {
	return c.startStandIn("relay", "--target", target)
}
