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

func healthyView() View {
	return View{}.
		WithStatus("a", status(endpoint.Primary, 1), 0, now).
		WithStatus("b", status(endpoint.Replica, 1), 0, now).
		WithStatus("c", status(endpoint.Replica, 1), 0, now)
}

func requirement(offset uint64, age time.Duration) session.Requirement {
	return session.Requirement{Position: endpoint.Position{Term: 1, Offset: offset}, MaxAge: age}
}

func viewWithStale(required session.Requirement) View {
	return healthyView().WithStale("b", required, now.Add(time.Second))
}

func TestChoose(t *testing.T) {
	leaving := members()
	leaving[1].Leaving = true
	tests := map[string]struct {
		request Request
		members []config.Endpoint
		view    View
		want    []string
	}{
		"write, primary known":                  {request: Request{Write: true}, view: healthyView(), want: []string{"a"}},
		"write, primary unknown":                {request: Request{Write: true}},
		"write, primary tried":                  {request: Request{Write: true, Tried: []string{"a"}}, view: healthyView()},
		"write, primary avoided":                {request: Request{Write: true}, view: healthyView().WithAvoid("a", now.Add(time.Second))},
		"write, higher term promised elsewhere": {request: Request{Write: true}, view: healthyView().WithStatus("b", status(endpoint.Stopped, 2), 0, now)},
		"write, two primaries, higher term wins": {
			request: Request{Write: true}, view: healthyView().WithStatus("c", status(endpoint.Primary, 2), 0, now), want: []string{"c"},
		},
		"read at the primary":             {request: Request{}, view: healthyView(), want: []string{"a"}},
		"read, near replica first":        {request: Request{Replicas: true, Domain: "south/1"}, view: healthyView(), want: []string{"c", "b", "a"}},
		"read, same region next":          {request: Request{Replicas: true, Domain: "north/1"}, view: healthyView(), want: []string{"b", "c", "a"}},
		"read, busy replica ranks lower":  {request: Request{Replicas: true, Domain: "north/2"}, view: healthyView().WithStatus("b", status(endpoint.Replica, 1), 50, now), want: []string{"c", "b", "a"}},
		"read, failed replica ranks last": {request: Request{Replicas: true, Domain: "north/2"}, view: healthyView().WithAvoid("b", now.Add(time.Second)), want: []string{"c", "a", "b"}},
		"read, replica behind token":      {request: Request{Replicas: true, Domain: "north/2", Requirement: requirement(9, 0)}, view: viewWithStale(requirement(8, 0)), want: []string{"c", "a", "b"}},
		"read, behind a later token":      {request: Request{Replicas: true, Domain: "north/2", Requirement: requirement(7, 0)}, view: viewWithStale(requirement(8, 0)), want: []string{"b", "c", "a"}},
		"read, replica too old":           {request: Request{Replicas: true, Domain: "north/2", Requirement: requirement(1, time.Second)}, view: viewWithStale(requirement(1, time.Minute)), want: []string{"c", "a", "b"}},
		"read, old data accepted":         {request: Request{Replicas: true, Domain: "north/2", Requirement: requirement(1, time.Hour)}, view: viewWithStale(requirement(1, time.Minute)), want: []string{"b", "c", "a"}},
		"read, age not bounded":           {request: Request{Replicas: true, Domain: "north/2", Requirement: requirement(1, 0)}, view: viewWithStale(requirement(1, time.Minute)), want: []string{"b", "c", "a"}},
		"read, leaving replica excluded":  {request: Request{Replicas: true, Domain: "north/2"}, members: leaving, view: healthyView(), want: []string{"c", "a"}},
		"read, tried replicas excluded":   {request: Request{Replicas: true, Domain: "north/2", Tried: []string{"b", "c"}}, view: healthyView(), want: []string{"a"}},
		"read, no primary known":          {request: Request{Replicas: true, Domain: "south/1"}, view: healthyView().WithStatus("a", status(endpoint.Stopped, 2), 0, now), want: []string{"c", "b", "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.members == nil {
				test.members = members()
			}
			var got []string
			for _, c := range Choose(test.request, test.members, test.view, now) {
				got = append(got, c.Endpoint.Name)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
