package commands

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/instance"
	"siskincove/pool"
)

func init() {
	register("status", "Show the status of instances and of their pools.", &statusCommand{})
}

type statusCommand struct {
	Health []string `arg:"" help:"Health addresses of instances, IP:port."`
}

type instanceStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *instance.Status `json:"status,omitempty"`
}

const statusTimeout = 3 * time.Second

// Run prints the status of each instance. It fails if one does not answer.
func (c *statusCommand) Run(out *Output) error {
	statuses := make([]instanceStatus, 0, len(c.Health))
	failed := 0
	for _, address := range c.Health {
		s, err := readStatus(address)
		entry := instanceStatus{Address: address, Status: s}
		if err != nil {
			entry = instanceStatus{Address: address, Error: err.Error()}
			failed++
		}
		statuses = append(statuses, entry)
	}
	if err := out.print(statuses, func(w io.Writer) { printStatus(w, statuses) }); err != nil {
		return err
	}
	if failed > 0 {
		return &ExitError{Code: ExitFailure}
	}
	return nil
}

func printStatus(w io.Writer, statuses []instanceStatus) {
	for _, entry := range statuses {
		if entry.Status == nil {
			printLine(w, "%s  does not answer: %s", entry.Address, entry.Error)
			continue
		}
		s := entry.Status
		printLine(w, "%s  %s  %s  ready=%t revision=%d workspaces=%d sessions=%d inflight=%d pools=%d peers=%d",
			entry.Address, s.Instance, s.Domain, s.Ready, s.Revision, s.Workspaces, s.Sessions, s.Inflight, len(s.Pools), len(s.Peers))
		printPools(w, s.Pools)
	}
}

func printPools(w io.Writer, pools []pool.State) {
	for _, p := range pools {
		printLine(w, "    %s  %s term=%d log=%s applied=%s age=%dms answers=%t open=%d slots=%d waiting=%d",
			p.Endpoint, p.Role, p.Term, p.Log, p.Applied, p.Age, p.Responding, p.Open, p.Slots, p.Waiting)
	}
}

func readStatus(address string) (*instance.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, errors.Wrap(err, "requesting status")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "requesting status")
	}
	defer func() { _ = response.Body.Close() }()
	var s instance.Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decoding status")
	}
	return &s, nil
}
