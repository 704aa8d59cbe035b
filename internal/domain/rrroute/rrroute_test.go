package rrroute_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func single(name rrroute.RouteName, host, prefix string) rrroute.Route {
	return rrroute.Route{
		Name: name, Host: host, Prefix: prefix, Kind: rrroute.KindIdempotent, Attempts: 2,
		Timeout: rrunit.Duration(time.Second), WeightedServices: []rrroute.WeightedService{{Service: "a", Weight: 1}},
	}
}

func table(routes ...rrroute.Route) *rrroute.Table {
	second := rrunit.Duration(time.Second)
	return &rrroute.Table{
		Number:   3,
		Routes:   routes,
		Services: []rrroute.Service{{Name: "a", Connections: 30}, {Name: "b", Connections: 30}},
		Limits:   rrroute.Limits{Header: 1 << 14, Body: 1 << 18, HeaderTimeout: second, IdleTimeout: second},
	}
}

func TestMatch(t *testing.T) {
	tab := table(single("short", "x.example", "/a/"), single("long", "x.example", "/a/b/"), single("other", "y.example", "/a/"))
	must.NoError(t, tab.Build())
	for _, c := range []struct {
		host, path string
		want       rrroute.RouteName
	}{
		{"x.example", "/a/1", "short"},
		{"x.example", "/a/b/1", "long"},
		{"x.example:8080", "/a/b/", "long"},
		{"X.Example", "/a/1", "short"},
		{"y.example", "/a/b/1", "other"},
		{"x.example", "/a", ""},
		{"x.example", "/b/a/", ""},
		{"z.example", "/a/1", ""},
	} {
		r := tab.Match(c.host, c.path)
		if c.want == "" {
			must.Nil(t, r, must.Sprint(c))
			continue
		}
		must.NotNil(t, r, must.Sprint(c))
		must.Eq(t, c.want, r.Name)
	}
}

func TestNeeded(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage rrunit.Share
		want     int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {10, 0.9, 9}, {15, 0.89, 14}, {36, 0.95, 35}, {1, 0, 1}, {4, 1, 4}} {
		r := rrroute.Route{Shards: make([]rrunit.ServiceName, c.shards), MinCoverage: c.coverage}
		must.Eq(t, c.want, r.RequiredShards(), must.Sprint(c))
	}
}

func TestCheckNamesTheField(t *testing.T) {
	for want, change := range map[string]func(*rrroute.Table){
		"number":                     func(t *rrroute.Table) { t.Number = 0 },
		"routes[0].host":             func(t *rrroute.Table) { t.Routes[0].Host = "" },
		"routes[0].prefix":           func(t *rrroute.Table) { t.Routes[0].Prefix = "/a" },
		"routes[0].kind":             func(t *rrroute.Table) { t.Routes[0].Kind = "twice" },
		"routes[0].rank":             func(t *rrroute.Table) { t.Routes[0].Rank = -1 },
		"routes[0].timeout":          func(t *rrroute.Table) { t.Routes[0].Timeout = 0 },
		"routes[0].attempts":         func(t *rrroute.Table) { t.Routes[0].Attempts = 0 },
		"routes[0].parts":            func(t *rrroute.Table) { t.Routes[0].WeightedServices = nil },
		"routes[0].parts[0].service": func(t *rrroute.Table) { t.Routes[0].WeightedServices[0].Service = "c" },
		"routes[0].parts[0].weight":  func(t *rrroute.Table) { t.Routes[0].WeightedServices[0].Weight = -1 },
		"routes[0].shards[1]": func(t *rrroute.Table) {
			t.Routes[0].WeightedServices = nil
			t.Routes[0].Shards = []rrunit.ServiceName{"a", "a"}
		},
		"routes[0].coverage": func(t *rrroute.Table) {
			t.Routes[0].WeightedServices = nil
			t.Routes[0].Shards = []rrunit.ServiceName{"a", "b"}
			t.Routes[0].MinCoverage = 1.5
		},
		"services[1].connections": func(t *rrroute.Table) { t.Services[1].Connections = 0 },
		"limits.body":             func(t *rrroute.Table) { t.Limits.Body = 0 },
	} {
		tab := table(single("r", "x.example", "/a/"))
		must.NoError(t, tab.Build())
		change(tab)
		must.ErrorContains(t, tab.Build(), want+":")
	}
}
