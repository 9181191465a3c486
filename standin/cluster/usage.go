package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Usage is what a process has used so far.
type Usage struct {
	// CPU is processor time, user and system.
	CPU time.Duration
	// Resident is memory in bytes.
	Resident int64
}

const (
	ticksPerSecond = 100
	pageBytes      = 4096
	fieldUser      = 11
	fieldSystem    = 12
	fieldResident  = 21
)

// Usage reads what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldResident {
		return Usage{}, errors.New("usage: unexpected shape")
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	ticks := number(fieldUser) + number(fieldSystem)
	return Usage{CPU: time.Duration(ticks) * time.Second / ticksPerSecond, Resident: number(fieldResident) * pageBytes}, nil
}

// StartRelay starts a bare byte relay to an address and returns it with its own address.
func (c *Cluster) StartRelay(target string) (*Process, string, error) {
	return c.startTool("relay", "--target", target)
}
