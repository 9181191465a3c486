package instance

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPreparedTextsAreToldApart guards against a prepared statement that runs another caller's text, since that has the same checksum
// and was prepared on the connection before. The texts have equal XXH64 checksums.
func TestPreparedTextsAreToldApart(t *testing.T) {
	texts := map[string]string{
		"1vjmcc0z": "seLeCT\t value FROM t WHERE key='1vjmcc0z'                       ",
		"ffyksdqa": "sELect  value FROM t WHERE key='ffyksdqa'                       ",
	}
	d := startDeployment(t)
	ctx := context.Background()
	for key, text := range texts {
		for instance := range instanceCount {
			conn, err := d.connect(instance)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close(ctx) }()
			if _, err := conn.Exec(ctx, "INSERT INTO t (key, value) VALUES ('"+key+"', 'value of "+key+"')"); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Prepare(ctx, "s1", text); err != nil {
				t.Fatal(err)
			}
			for range 10 {
				var value string
				if err := conn.QueryRow(ctx, "s1").Scan(&value); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff("value of "+key, value); diff != "" {
					t.Error(diff)
				}
			}
		}
	}
}
