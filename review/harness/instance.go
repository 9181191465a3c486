package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// settingsText holds the settings of an instance as deploy/instance.toml has them.
const settingsText = `[instance]
id = %q
domain = "south/%s"

[callers]
protocol = "platform"

[listen]
callers = %q
health = %q
peers = %q
metrics = %q
seeds = [%s]

[store]
address = %q

[promotion]
address = %q

[drain]
limit = "6s"
endpoint = "7000ms"

[regions]
"a" = "south"
"b" = "south"
"c" = "south"
`

// instance is a process of the system.
type instance struct {
	id, callers, health string
	root, file          string
	process             *exec.Cmd
	log                 *os.File
	ended               chan struct{}
}

// fleet is the system's processes.
type fleet struct {
	record    *recorder
	directory string
	instances []*instance
}

// freeAddresses returns addresses on loopback that are free at the moment.
func freeAddresses(n int) []string {
	var out []string
	var listeners []net.Listener
	for range n {
		l := listen()
		listeners = append(listeners, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return out
}

// startFleet starts one instance for each zone with the command of the deploy file and waits until all are ready.
func startFleet(r *recorder, root string, zones []string, store, promotion string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, directory: directory}
	addresses := freeAddresses(4 * len(zones))
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[4*i+2]))
	}
	for i, zone := range zones {
		at := addresses[4*i : 4*i+4]
		id := fmt.Sprintf("frontend-%s-1", zone)
		text := fmt.Sprintf(settingsText, id, zone, at[0], at[1], at[2], at[3], strings.Join(seeds, ","), store, promotion)
		file := filepath.Join(directory, id+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return f, err
		}
		started := &instance{id: id, callers: at[0], health: at[1], root: root, file: file}
		f.instances = append(f.instances, started)
		if err := started.start(); err != nil {
			return f, err
		}
		r.line("instance %s starts as process %d", id, started.process.Process.Pid)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, i := range f.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return f, fmt.Errorf("instance %s is not ready", i.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return f, nil
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	var err error
	if i.log, err = os.OpenFile(strings.TrimSuffix(i.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	i.process = exec.Command(filepath.Join(i.root, "target", "siskincoved"))
	i.process.Dir, i.process.Stdout, i.process.Stderr = i.root, i.log, i.log
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINCOVE_SETTINGS=" + i.file}
	i.ended = make(chan struct{})
	if err := i.process.Start(); err != nil {
		return err
	}
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(i.process, i.ended)
	return nil
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.health + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process.
func (i *instance) kill() {
	_ = i.process.Process.Signal(syscall.SIGKILL)
	<-i.ended
	_ = i.log.Close()
}

// stop ends all processes that were started. The logs go to keep if that is set.
func (f *fleet) stop(keep string) {
	if f == nil {
		return
	}
	for _, i := range f.instances {
		if i.process == nil || i.process.Process == nil {
			continue
		}
		i.kill()
		if keep != "" {
			_ = os.MkdirAll(keep, 0o755)
			data, _ := os.ReadFile(i.log.Name())
			_ = os.WriteFile(filepath.Join(keep, i.id+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(f.directory)
}
