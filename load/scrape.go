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

// readCounts are the numbers of reads that instances have sent to replicas and to primaries.
type readCounts struct {
	replica float64
	primary float64
}

// scrapeReads adds up the read counters of the instances.
func scrapeReads(ctx context.Context, health []string) (readCounts, error) {
	var out readCounts
	for _, address := range health {
		s, err := scrapeInstance(ctx, address)
		if err != nil {
			return out, err
		}
		out.replica += s.replica
		out.primary += s.primary
	}
	return out, nil
}

func scrapeInstance(ctx context.Context, address string) (readCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return readCounts{}, errors.Wrap(err, "metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return readCounts{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	var out readCounts
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
