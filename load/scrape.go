package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const scrapeTimeout = 5 * time.Second

// served is how many reads instances have sent to replicas and to primaries.
type served struct {
	replica float64
	primary float64
}

// scrape adds up the read counters of the instances that answer.
func scrape(ctx context.Context, health []string) (served, error) {
	var out served
	for _, address := range health {
		s, err := scrapeOne(ctx, address)
		if err != nil {
			return out, err
		}
		out.replica += s.replica
		out.primary += s.primary
	}
	return out, nil
}

func scrapeOne(ctx context.Context, address string) (served, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return served{}, errors.Wrap(err, "metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return served{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	var out served
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case `siskincove_reads_total{endpoint="replica"`:
			out.replica += n
		case `siskincove_reads_total{endpoint="primary"`:
			out.primary += n
		}
	}
	return out, errors.Wrap(lines.Err(), "metrics")
}
