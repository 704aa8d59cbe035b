package rrroute

import (
	"fmt"
	"strings"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// check returns an error that names the first invalid field.
func (t *Table) check() error {
	if t.Number == 0 {
		return rrunit.Invalid("number", "is missing")
	}
	services := make(map[rrunit.ServiceName]bool, len(t.Services))
	for i := range t.Services {
		if err := t.Services[i].check(fmt.Sprintf("services[%d]", i)); err != nil {
			return err
		}
		services[t.Services[i].Name] = true
	}
	for i := range t.Routes {
		if err := t.Routes[i].check(fmt.Sprintf("routes[%d]", i), services); err != nil {
			return err
		}
	}
	return t.Limits.check()
}

func (s *Service) check(field string) error {
	if s.Name == "" {
		return rrunit.Invalid(field+".name", "is missing")
	}
	if s.Connections <= 0 {
		return rrunit.Invalid(field+".connections", "%d is not above 0", s.Connections)
	}
	return nil
}

func (r *Route) check(field string, services map[rrunit.ServiceName]bool) error {
	switch {
	case r.Host == "":
		return rrunit.Invalid(field+".host", "is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return rrunit.Invalid(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	case r.Kind != KindIdempotent && r.Kind != KindAtMostOnce:
		return rrunit.Invalid(field+".kind", "%q is not a kind", r.Kind)
	case r.Rank < 0:
		return rrunit.Invalid(field+".rank", "%d is below 0", r.Rank)
	case r.Timeout <= 0:
		return rrunit.Invalid(field+".timeout", "%s is not above 0s", r.Timeout)
	case r.LatencyTarget < 0:
		return rrunit.Invalid(field+".target", "%s is below 0s", r.LatencyTarget)
	case r.Attempts < 1:
		return rrunit.Invalid(field+".attempts", "%d is not above 0", r.Attempts)
	}
	return r.checkServices(field, services)
}

func (r *Route) checkServices(field string, services map[rrunit.ServiceName]bool) error {
	switch {
	case (len(r.WeightedServices) > 0) == (len(r.Shards) > 0):
		return rrunit.Invalid(field+".parts", "needs either parts or shards")
	case r.IsScatterGather():
		return r.checkShards(field, services)
	default:
		return r.checkParts(field, services)
	}
}

func (r *Route) checkParts(field string, services map[rrunit.ServiceName]bool) error {
	var sum float64
	for i, p := range r.WeightedServices {
		at := fmt.Sprintf("%s.parts[%d]", field, i)
		if !services[p.Service] {
			return rrunit.Invalid(at+".service", "%q is not a service of the table", p.Service)
		}
		if p.Weight < 0 {
			return rrunit.Invalid(at+".weight", "%g is below 0", p.Weight)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return rrunit.Invalid(field+".parts", "no weight is above 0")
	}
	return nil
}

func (r *Route) checkShards(field string, services map[rrunit.ServiceName]bool) error {
	if r.Kind != KindIdempotent {
		return rrunit.Invalid(field+".kind", "a route over shards is idempotent")
	}
	if r.TopK < 0 {
		return rrunit.Invalid(field+".top", "%d is below 0", r.TopK)
	}
	if r.MinCoverage < 0 || r.MinCoverage > 1 {
		return rrunit.Invalid(field+".coverage", "%g is not between 0 and 1", float64(r.MinCoverage))
	}
	seen := make(map[rrunit.ServiceName]bool, len(r.Shards))
	for i, name := range r.Shards {
		at := fmt.Sprintf("%s.shards[%d]", field, i)
		if !services[name] {
			return rrunit.Invalid(at, "%q is not a service of the table", name)
		}
		if seen[name] {
			return rrunit.Invalid(at, "%q stands twice", name)
		}
		seen[name] = true
	}
	return nil
}

func (l *Limits) check() error {
	switch {
	case l.Header <= 0:
		return rrunit.Invalid("limits.header", "%d is not above 0", l.Header)
	case l.Body <= 0:
		return rrunit.Invalid("limits.body", "%d is not above 0", l.Body)
	case l.HeaderTimeout <= 0:
		return rrunit.Invalid("limits.headertime", "%s is not above 0s", l.HeaderTimeout)
	case l.IdleTimeout <= 0:
		return rrunit.Invalid("limits.idletime", "%s is not above 0s", l.IdleTimeout)
	}
	return nil
}
