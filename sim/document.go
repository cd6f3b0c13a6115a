package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// A site's operators write a config.Config as JSON: routes, services whose replicas are discovered, limits and a revision. This file reads and
// edits these documents.

// invalidDocument returns the error for a value at path that does not meet the requirement bound.
func invalidDocument(path, val, bound string) error {
	return trace.Wrap(&config.InvalidError{Violations: []config.Violation{{Path: path, Value: val, Requirement: bound}}})
}

// readDocument is the function with which a site's nodes read configurations.
func readDocument(raw []byte) (config.Config, error) {
	var c config.Config
	if err := json.Unmarshal(raw, &c); err != nil {
		return config.Config{}, invalidDocument("$", err.Error(), "a configuration")
	}
	if c.Revision == 0 {
		return config.Config{}, invalidDocument("$.Revision", "0", "above 0")
	}
	services := map[string]bool{}
	for _, service := range c.Services {
		services[service.Name] = true
	}
	locations := map[string]bool{}
	for i, r := range c.Routes {
		path, sum := fmt.Sprintf("$.Routes[%d]", i), 0.0
		for _, s := range r.TrafficSplit {
			if !services[s.Service] {
				return config.Config{}, invalidDocument(path+".Split", s.Service, "a known service")
			}
			sum += s.Weight
		}
		switch location := r.Host + r.Prefix; {
		case sum <= 0:
			return config.Config{}, invalidDocument(path+".Split", "a sum of 0", "above 0")
		case r.Timeout <= 0:
			return config.Config{}, invalidDocument(path+".Timeout", "0", "above 0")
		case locations[location]:
			return config.Config{}, invalidDocument(path+".Prefix", location, "used by one route only")
		default:
			locations[location] = true
		}
	}
	return c, nil
}

func writeDocument(c config.Config) []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return raw
}

const siteHost = "site.example"

func prefixOf(name string) string { return "/" + name + "/" }

// firstConfig returns the configuration with which a run begins.
func (s SiteSpec) firstConfig() config.Config {
	var c config.Config
	c.Revision = 1
	for _, service := range s.Services {
		c.Services = append(c.Services, config.Service{
			Name: service.Name, Model: shape.ModelName, Discovered: true, Queues: true, MaxConns: service.MaxConns, WarmupRate: service.WarmupRate, WarmupTime: service.WarmupTime,
			PrefixCacheTokens: service.MemoryTokens, MaxTokensPerEvent: service.Stride, RetryRatio: retryRatio, RetryAllowance: s.Bounds.RetryExtra * 3 / 4, MaxPredictionTTL: maxPredictionTTL,
		})
	}
	for _, class := range s.Classes {
		c.Routes = append(c.Routes, config.Route{
			Name: class.Name, Host: siteHost, Prefix: prefixOf(class.Name), TrafficSplit: []config.WeightedService{{Service: class.Service, Weight: 1}}, Streaming: class.Streaming,
			Idempotent: class.Repeatable, Resumable: class.Resumable, Timeout: class.Deadline, FirstTokenTarget: class.LatencyTarget, EventGapTarget: class.TargetGap, MaxAttempts: class.MaxAttempts, Priority: class.Priority,
		})
	}
	for i := range s.IdleRoutes {
		c.Routes = append(c.Routes, s.idleRoute(fmt.Sprintf("idle%d", i+1), i))
	}
	return c
}

// idleRoute returns a route that only configuration probes use; it may lead to any service.
func (s SiteSpec) idleRoute(name string, service int) config.Route {
	plain := s.Classes[len(s.Classes)-1]
	return config.Route{
		Name: name, Host: siteHost, Prefix: prefixOf(name), TrafficSplit: []config.WeightedService{{Service: s.Services[service%len(s.Services)].Name, Weight: 1}}, Idempotent: true,
		Timeout: plain.Deadline, FirstTokenTarget: plain.LatencyTarget, MaxAttempts: 1, Priority: 3,
	}
}

// edit computes the next document from the current one.
type edit = func(cur []byte) ([]byte, error)

// revisionIn returns the revision of a document, 0 if there is none.
func revisionIn(cur []byte) (uint64, error) {
	if len(cur) == 0 {
		return 0, nil
	}
	c, err := readDocument(cur)
	return c.Revision, err
}

// putEdit returns an edit that replaces the whole document, if that has the revision base.
func putEdit(base uint64, raw []byte) edit {
	return func(cur []byte) ([]byte, error) {
		revision, err := revisionIn(cur)
		if err != nil {
			return nil, err
		}
		if revision != base {
			return nil, &register.ConflictError{Version: revision}
		}
		c, err := readDocument(raw)
		if err == nil && c.Revision <= base {
			err = invalidDocument("$.Revision", fmt.Sprint(c.Revision), fmt.Sprintf("above %d", base))
		}
		return raw, err
	}
}

// patchEdit returns an edit that adds or replaces routes by name and removes others, if the document has the revision base.
func patchEdit(base, revision uint64, upsert []config.Route, remove []string) edit {
	return func(cur []byte) ([]byte, error) {
		c, err := readDocument(cur)
		if err != nil {
			return nil, err
		}
		if c.Revision != base {
			return nil, &register.ConflictError{Version: c.Revision}
		}
		c.Revision = revision
		c.Routes = slices.DeleteFunc(c.Routes, func(r config.Route) bool { return slices.Contains(remove, r.Name) })
		for _, route := range upsert {
			at := slices.IndexFunc(c.Routes, func(r config.Route) bool { return r.Name == route.Name })
			if at < 0 {
				c.Routes = append(c.Routes, route)
				continue
			}
			c.Routes[at] = route
		}
		raw := writeDocument(c)
		_, err = readDocument(raw)
		return raw, err
	}
}

// routeFor returns the configuration's route with the longest prefix of the path, or nil.
func routeFor(c *config.Config, path string) *config.Route {
	var best *config.Route
	for i := range c.Routes {
		if route := &c.Routes[i]; strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}
