package main

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

type instanceCommand struct {
	Platform string `help:"Control address of the stand-in platform, IP:port." required:""`
	ID       string `help:"Instance's name." required:""`
	Address  string `help:"Instance's address for other instances, IP:port." required:""`
	Domain   string `help:"Instance's failure domain, as region/domain." required:""`
	State    string `help:"What the list shall say." enum:"live,leaving,gone" default:"live"`
}

// Run tells the stand-in platform what its list of instances shall say of one.
func (c *instanceCommand) Run(ctx context.Context) error {
	form := url.Values{"id": {c.ID}, "address": {c.Address}, "domain": {c.Domain}, "state": {c.State}}
	target := "http://" + c.Platform + "/control/instance"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(form.Encode()))
	if err != nil {
		return errors.Wrap(err, "control")
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("control answered %s", response.Status)
	}
	return nil
}
