package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/standin/group"
)

// RunningGroup is a database group that runs in its own process.
type RunningGroup struct {
	Options Group
	Process *Process
	// Endpoints are the members' IP:port.
	Endpoints      []string
	controlAddress string
}

const membersPerGroup = 3

func startGroup(ctx context.Context, o Options, g Group) (*RunningGroup, error) {
	args := []string{
		"group", "--vendor", g.Vendor, "--slots", fmt.Sprint(g.Slots), "--connections", fmt.Sprint(g.Connections),
		"--cost", g.ConnectDelay.String(), "--work", g.Work.String(), "--domains", g.BetweenDomains.String(), "--regions", g.BetweenRegions.String(),
		"--receive-lag", g.ReceiveLag.String(), "--apply-lag", g.ApplyLag.String(),
	}
	if g.Certificate != "" {
		args = append(args, "--certificate", g.Certificate, "--key", g.Key)
	}
	if len(g.Domains) > 0 {
		args = append(args, "--domain", strings.Join(g.Domains, ","))
	}
	p, err := start(filepath.Join(o.Directory, g.Database+".log"), filepath.Join(o.Binaries, "standin"), args...)
	if err != nil {
		return nil, err
	}
	r := &RunningGroup{Options: g, Process: p}
	for range membersPerGroup {
		address, err := p.awaitLine(ctx, "endpoint")
		if err != nil {
			return r, err
		}
		r.Endpoints = append(r.Endpoints, address)
	}
	r.controlAddress, err = p.awaitLine(ctx, "control")
	return r, err
}

// Fault sets a fault of a member by its name in the group's control interface.
func (r *RunningGroup) Fault(member int, name, value string) error {
	return postControl(r.controlAddress, "/fault", url.Values{"member": {fmt.Sprint(member)}, "name": {name}, "value": {value}})
}

// States returns the state that each member reports.
func (r *RunningGroup) States() ([]group.MemberState, error) {
	var out []group.MemberState
	err := getJSON(r.controlAddress, "/state", &out)
	return out, err
}

// Primary returns the number of the primary with the highest term, and -1 if there is none.
func (r *RunningGroup) Primary() (int, error) {
	states, err := r.States()
	best := -1
	for i, s := range states {
		if s.Role == "primary" && (best < 0 || s.Fenced > states[best].Fenced) {
			best = i
		}
	}
	return best, err
}

// Rows returns the values that a member has applied under a key.
func (r *RunningGroup) Rows(member int, table, key string) ([]string, error) {
	var out []string
	query := url.Values{"member": {fmt.Sprint(member)}, "table": {table}, "key": {key}}
	err := getJSON(r.controlAddress, "/rows?"+query.Encode(), &out)
	return out, err
}

const controlTimeout = 5 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

func postControl(address, path string, form url.Values) error {
	response, err := controlClient.PostForm("http://"+address+path, form)
	if err != nil {
		return errors.Wrap(err, "control request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("control request answered with %s", response.Status)
	}
	return nil
}

func getJSON(address, path string, into any) error {
	response, err := controlClient.Get("http://" + address + path)
	if err != nil {
		return errors.Wrap(err, "control request")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "control answer")
}
