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
	register("status", "Ask instances what they serve and whom they see.", &statusCommand{})
}

type statusCommand struct {
	Health []string `arg:"" help:"Health addresses of instances, IP:port."`
}

type statusLine struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *instance.Status `json:"status,omitempty"`
}

const statusTimeout = 3 * time.Second

// Run prints a line for each instance; it fails when one does not answer.
func (c *statusCommand) Run(out *Output) error {
	lines := make([]statusLine, 0, len(c.Health))
	failed := 0
	for _, address := range c.Health {
		s, err := readStatus(address)
		entry := statusLine{Address: address, Status: s}
		if err != nil {
			entry = statusLine{Address: address, Error: err.Error()}
			failed++
		}
		lines = append(lines, entry)
	}
	if err := out.print(lines, func(w io.Writer) { printStatus(w, lines) }); err != nil {
		return err
	}
	if failed > 0 {
		return &ExitError{Code: ExitFailure}
	}
	return nil
}

func printStatus(w io.Writer, lines []statusLine) {
	for _, l := range lines {
		if l.Status == nil {
			line(w, "%s  does not answer: %s", l.Address, l.Error)
			continue
		}
		s := l.Status
		line(w, "%s  %s  %s  ready=%t revision=%d sessions=%d inflight=%d pools=%d peers=%d",
			l.Address, s.Instance, s.Domain, s.Ready, s.Revision, s.Sessions, s.Inflight, len(s.Pools), len(s.Peers))
		printPools(w, s.Pools)
	}
}

func printPools(w io.Writer, pools []pool.State) {
	for _, p := range pools {
		line(w, "    %s  %s term=%d log=%s applied=%s age=%dms answers=%t open=%d slots=%d waiting=%d",
			p.Endpoint, p.Role, p.Term, p.Log, p.Applied, p.Age, p.Answers, p.Open, p.Slots, p.Waiting)
	}
}

func readStatus(address string) (*instance.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	defer func() { _ = response.Body.Close() }()
	var s instance.Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return &s, nil
}
