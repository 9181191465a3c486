package route

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/session"
)

var now = time.Unix(1_000_000, 0)

func status(role endpoint.Role, term uint64) endpoint.Status {
	return endpoint.Status{Role: role, Fenced: endpoint.FencedTerm(term), Log: endpoint.Position{Term: endpoint.LogTerm(term), Offset: 1}}
}

func members() []config.Endpoint {
	return []config.Endpoint{
		{Name: "a", Domain: "north/1"}, {Name: "b", Domain: "north/2"}, {Name: "c", Domain: "south/1"},
	}
}

func healthy() View {
	return View{}.
		WithStatus("a", status(endpoint.Primary, 1), 0, now).
		WithStatus("b", status(endpoint.Replica, 1), 0, now).
		WithStatus("c", status(endpoint.Replica, 1), 0, now)
}

func need(offset uint64, age time.Duration) session.Need {
	return session.Need{Token: endpoint.Position{Term: 1, Offset: offset}, Age: age}
}

func stale(n session.Need) View { return healthy().WithStale("b", n, now.Add(time.Second)) }

func TestChoose(t *testing.T) {
	leaving := members()
	leaving[1].Leaving = true
	tests := map[string]struct {
		request   Request
		members   []config.Endpoint
		knowledge View
		want      []string
	}{
		"write, primary known":       {request: Request{Write: true}, knowledge: healthy(), want: []string{"a"}},
		"write, nothing known":       {request: Request{Write: true}},
		"write, primary tried":       {request: Request{Write: true, Tried: []string{"a"}}, knowledge: healthy()},
		"write, primary avoided":     {request: Request{Write: true}, knowledge: healthy().WithAvoid("a", now.Add(time.Second))},
		"write, higher term stopped": {request: Request{Write: true}, knowledge: healthy().WithStatus("b", status(endpoint.Stopped, 2), 0, now)},
		"write, two believe": {
			request: Request{Write: true}, knowledge: healthy().WithStatus("c", status(endpoint.Primary, 2), 0, now), want: []string{"c"},
		},
		"read at the primary":        {request: Request{}, knowledge: healthy(), want: []string{"a"}},
		"read, near replica first":   {request: Request{Replicas: true, Domain: "south/1"}, knowledge: healthy(), want: []string{"c", "b", "a"}},
		"read, same region next":     {request: Request{Replicas: true, Domain: "north/1"}, knowledge: healthy(), want: []string{"b", "c", "a"}},
		"read, busy replica later":   {request: Request{Replicas: true, Domain: "north/2"}, knowledge: healthy().WithStatus("b", status(endpoint.Replica, 1), 50, now), want: []string{"c", "b", "a"}},
		"read, failed replica later": {request: Request{Replicas: true, Domain: "north/2"}, knowledge: healthy().WithAvoid("b", now.Add(time.Second)), want: []string{"c", "a", "b"}},
		"read, replica behind token": {request: Request{Replicas: true, Domain: "north/2", Need: need(9, 0)}, knowledge: stale(need(8, 0)), want: []string{"c", "a", "b"}},
		"read, behind a later token": {request: Request{Replicas: true, Domain: "north/2", Need: need(7, 0)}, knowledge: stale(need(8, 0)), want: []string{"b", "c", "a"}},
		"read, too old for it":       {request: Request{Replicas: true, Domain: "north/2", Need: need(1, time.Second)}, knowledge: stale(need(1, time.Minute)), want: []string{"c", "a", "b"}},
		"read, old data accepted":    {request: Request{Replicas: true, Domain: "north/2", Need: need(1, time.Hour)}, knowledge: stale(need(1, time.Minute)), want: []string{"b", "c", "a"}},
		"read, age not bounded":      {request: Request{Replicas: true, Domain: "north/2", Need: need(1, 0)}, knowledge: stale(need(1, time.Minute)), want: []string{"b", "c", "a"}},
		"read, leaving left out":     {request: Request{Replicas: true, Domain: "north/2"}, members: leaving, knowledge: healthy(), want: []string{"c", "a"}},
		"read, tried left out":       {request: Request{Replicas: true, Domain: "north/2", Tried: []string{"b", "c"}}, knowledge: healthy(), want: []string{"a"}},
		"read, no primary known":     {request: Request{Replicas: true, Domain: "south/1"}, knowledge: healthy().WithStatus("a", status(endpoint.Stopped, 2), 0, now), want: []string{"c", "b", "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.members == nil {
				test.members = members()
			}
			var got []string
			for _, c := range Choose(test.request, test.members, test.knowledge, now) {
				got = append(got, c.Endpoint.Name)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
