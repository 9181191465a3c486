package meter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Format returns totals as a list of purpose@distance=count:bytes, the largest first.
func Format(totals map[Flow]Amount) string {
	parts := make([]string, 0, len(totals))
	for _, flow := range LargestFirst(totals) {
		parts = append(parts, fmt.Sprintf("%s@%s=%d:%d", flow.Purpose, flow.Distance, totals[flow].Count, totals[flow].Bytes))
	}
	return strings.Join(parts, " ")
}

// LargestFirst returns the flows of totals, those with most bytes first.
func LargestFirst(totals map[Flow]Amount) []Flow {
	return slices.SortedFunc(maps.Keys(totals), func(a, b Flow) int {
		return cmp.Or(
			cmp.Compare(totals[b].Bytes, totals[a].Bytes), cmp.Compare(totals[b].Count, totals[a].Count),
			cmp.Compare(a.Purpose, b.Purpose), cmp.Compare(a.Distance, b.Distance),
		)
	})
}

// Parse returns the totals in a text that Format has returned; parts that it does not understand are left out.
func Parse(text string) map[Flow]Amount {
	out := make(map[Flow]Amount)
	for _, part := range strings.Fields(text) {
		name, value, _ := strings.Cut(part, "=")
		purpose, distance, _ := strings.Cut(name, "@")
		count, bytes, _ := strings.Cut(value, ":")
		c, countErr := strconv.ParseInt(count, 10, 64)
		b, bytesErr := strconv.ParseInt(bytes, 10, 64)
		if countErr == nil && bytesErr == nil {
			out[Flow{Purpose: purpose, Distance: Distance(distance)}] = Amount{Count: c, Bytes: b}
		}
	}
	return out
}
