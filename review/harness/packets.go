package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is what the pages give a process of the small sites (memory-mb); one that exceeds it is killed.
	memoryLimit = 206 << 20
	// peers and holdTime are the site files' own dose of rude (flood): count = 100, for_s = 6.5.
	peers    = 100
	holdTime = 6500 * time.Millisecond
	// packetBytes is below the 1 MiB that a message may have.
	packetBytes = 1000 << 10
)

// packets lets some requesters send messages that they don't end, to one instance. The others go on with their work.
func packets(w *world) (int, error) {
	victim := w.fleet.instances[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var lost counter
	for n := range 4 {
		callers.Go(func() { plainCaller(w, victim, n, stop, &lost) })
	}
	killed := make(chan struct{})
	go watchMemory(w, victim, killed, stop)
	time.Sleep(4 * time.Second)
	if w.trouble {
		var rude sync.WaitGroup
		for n := range peers {
			rude.Go(func() { sendUnended(w, victim, n) })
		}
		rude.Wait()
	} else {
		time.Sleep(holdTime)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	select {
	case <-killed:
		w.record.line("BROKEN: the process was killed; %d requests had no answer", lost.value())
		fmt.Printf("requests without an answer: %d\n", lost.value())
		return 1, nil
	default:
		return 0, nil
	}
}

// counter is a number that several goroutines raise.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// plainCaller reads and writes in one session.
func plainCaller(w *world, i *instance, n int, stop chan struct{}, lost *counter) {
	for turn := 0; ; turn++ {
		c, err := dial(w.record, w.ledger, fmt.Sprintf("c%d-%d", n, turn), i.callers, "signoff")
		for k := 0; err == nil; k++ {
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(50 * time.Millisecond):
			}
			if c.query(fmt.Sprintf("WRITE c%d %d", n, k)).broken {
				lost.add()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// sendUnended opens a session and sends the beginning of a message, then waits and closes.
func sendUnended(w *world, i *instance, n int) {
	conn, err := net.DialTimeout("tcp", i.callers, 2*time.Second)
	if err != nil {
		w.record.line("rude client %d: %v", n, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(holdTime))
	_, _ = fmt.Fprintf(conn, "START signoff rude%d\r\n", n)
	sent, err := conn.Write(append([]byte(fmt.Sprintf("QUERY %016x WRITE r%d ", n, n)), bytes.Repeat([]byte("x"), packetBytes)...))
	w.record.line("rude client %d: sent %d bytes without an end: %v", n, sent, err)
	time.Sleep(holdTime)
}

// watchMemory kills the instance as the platform does once it uses more memory than it may.
func watchMemory(w *world, i *instance, killed, stop chan struct{}) {
	most := 0
	for {
		select {
		case <-stop:
			w.record.line("instance %s used %d MB at most", i.id, most>>20)
			fmt.Printf("memory at its peak: %d MB\n", most>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(i.process.Process.Pid)
		most = max(most, used)
		if used > memoryLimit {
			w.record.line("instance %s uses %d MB of %d MB and is killed", i.id, used>>20, memoryLimit>>20)
			_ = i.process.Process.Signal(syscall.SIGKILL)
			close(killed)
			return
		}
	}
}

func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}
