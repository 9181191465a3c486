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

// RunningGroup is a started database group.
type RunningGroup struct {
	Options   Group
	Process   *Process
	Endpoints []string
	control   string
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
		address, err := p.expect(ctx, "endpoint")
		if err != nil {
			return r, err
		}
		r.Endpoints = append(r.Endpoints, address)
	}
	r.control, err = p.expect(ctx, "control")
	return r, err
}

// Fault sets a fault of a member, as the control interface of the group names it.
func (r *RunningGroup) Fault(member int, name, value string) error {
	return post(r.control, "/fault", url.Values{"member": {fmt.Sprint(member)}, "name": {name}, "value": {value}})
}

// States returns the members' own view.
func (r *RunningGroup) States() ([]group.MemberState, error) {
	var out []group.MemberState
	err := get(r.control, "/state", &out)
	return out, err
}

// Primary returns the number of the member that leads under the highest term, and -1 when none does.
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

// Rows returns what a member has applied under a key.
func (r *RunningGroup) Rows(member int, table, key string) ([]string, error) {
	var out []string
	query := url.Values{"member": {fmt.Sprint(member)}, "table": {table}, "key": {key}}
	err := get(r.control, "/rows?"+query.Encode(), &out)
	return out, err
}

const controlTimeout = 5 * time.Second

var client = &http.Client{Timeout: controlTimeout}

func post(address, path string, form url.Values) error {
	response, err := client.PostForm("http://"+address+path, form)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("control answered %s", response.Status)
	}
	return nil
}

func get(address, path string, into any) error {
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "control")
}
