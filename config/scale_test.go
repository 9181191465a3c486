package config

import (
	"fmt"
	"testing"
)

// setOfSize returns a set of n databases with three endpoints and two routes each.
func setOfSize(n int) Set {
	set := Set{
		Services:   []Service{{Name: "s", Route: "d0"}},
		Allowances: []Allowance{{Name: "minute", Age: 60e9}},
		Limits:     []Limit{{Name: "l", Slots: 5, Connections: 80}},
	}
	for i := range n {
		name := fmt.Sprintf("d%d", i)
		set.Databases = append(set.Databases, Database{Name: name, Vendor: "postgres"})
		set.Routes = append(set.Routes,
			Route{Name: name, Service: "s", Database: name, Reads: ReadsReplica},
			Route{Name: name + "-history", Service: "s", Database: name, Reads: ReadsReplica, Allowance: "minute"})
		for e := range 3 {
			set.Endpoints = append(set.Endpoints, Endpoint{
				Name: fmt.Sprintf("%s-%d", name, e), Database: name, Limit: "l", Domain: fmt.Sprintf("r%d/d%d", i%6, (i+e)%15),
				Address: fmt.Sprintf("10.%d.%d.%d:5432", e, i/250, i%250),
			})
		}
	}
	return set
}

// BenchmarkRevision measures what a new revision costs an instance: its size, decoding and indexing.
func BenchmarkRevision(b *testing.B) {
	for _, n := range []int{100, 1000, 8600} {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			data, err := setOfSize(n).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				set, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				NewCatalog(set)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
