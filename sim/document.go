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

// A site's operators write a config.Config as JSON: routes, services whose replicas are discovered, limits and a revision.

func flawed(path, val, bound string) error {
	return trace.Wrap(&config.InvalidError{Violations: []config.Violation{{Path: path, Value: val, Bound: bound}}})
}

// readDocument is the config.Reader of a site.
func readDocument(raw []byte) (config.Config, error) {
	var c config.Config
	if err := json.Unmarshal(raw, &c); err != nil {
		return config.Config{}, flawed("$", err.Error(), "a charter")
	}
	if c.Revision == 0 {
		return config.Config{}, flawed("$.Revision", "0", "above 0")
	}
	services := map[string]bool{}
	for _, o := range c.Services {
		services[o.Name] = true
	}
	places := map[string]bool{}
	for i, r := range c.Routes {
		at, sum := fmt.Sprintf("$.Routes[%d]", i), 0.0
		for _, s := range r.TrafficSplit {
			if !services[s.Service] {
				return config.Config{}, flawed(at+".Split", s.Service, "a known offer")
			}
			sum += s.Weight
		}
		switch place := r.Host + r.Prefix; {
		case sum <= 0:
			return config.Config{}, flawed(at+".Split", "0 in all", "above 0")
		case r.Timeout <= 0:
			return config.Config{}, flawed(at+".Timeout", "0", "above 0")
		case places[place]:
			return config.Config{}, flawed(at+".Prefix", place, "named once")
		default:
			places[place] = true
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

// first is the document that a day begins with.
func (s SiteSpec) first() config.Config {
	var c config.Config
	c.Revision = 1
	for _, o := range s.Services {
		c.Services = append(c.Services, config.Service{
			Name: o.Name, Model: shape.ModelName, Discovered: true, Queues: true, MaxConns: o.MaxConns, WarmupRate: o.WarmupRate, WarmupTime: o.WarmupTime,
			KeepTokens: o.MemoryTokens, Stride: o.Stride, RetryRatio: retryRatio, RetryExtra: s.Bounds.RetryExtra * 3 / 4, StaleCap: maxPredictions,
		})
	}
	for _, t := range s.Classes {
		c.Routes = append(c.Routes, config.Route{
			Name: t.Name, Host: siteHost, Prefix: prefixOf(t.Name), TrafficSplit: []config.WeightedService{{Service: t.Service, Weight: 1}}, Streaming: t.Streaming,
			Repeatable: t.Repeatable, Resumable: t.Resumable, Timeout: t.Deadline, FirstToken: t.LatencyTarget, TargetGap: t.TargetGap, MaxAttempts: t.MaxAttempts, Priority: t.Priority,
		})
	}
	for i := range s.IdleRoutes {
		c.Routes = append(c.Routes, s.idle(fmt.Sprintf("idle%d", i+1), i))
	}
	return c
}

// idle is a route that only lookers use; it may go to any service.
func (s SiteSpec) idle(name string, service int) config.Route {
	plain := s.Classes[len(s.Classes)-1]
	return config.Route{
		Name: name, Host: siteHost, Prefix: prefixOf(name), TrafficSplit: []config.WeightedService{{Service: s.Services[service%len(s.Services)].Name, Weight: 1}}, Repeatable: true,
		Timeout: plain.Deadline, FirstToken: plain.LatencyTarget, MaxAttempts: 1, Priority: 3,
	}
}

// An edit makes the next document of the one in place.
type edit = func(cur []byte) ([]byte, error)

func revisionIn(cur []byte) (uint64, error) {
	if len(cur) == 0 {
		return 0, nil
	}
	c, err := readDocument(cur)
	return c.Revision, err
}

// putEdit replaces the whole document of the revision base.
func putEdit(base uint64, raw []byte) edit {
	return func(cur []byte) ([]byte, error) {
		at, err := revisionIn(cur)
		if err != nil {
			return nil, err
		}
		if at != base {
			return nil, &register.ConflictError{Version: at}
		}
		c, err := readDocument(raw)
		if err == nil && c.Revision <= base {
			err = flawed("$.Revision", fmt.Sprint(c.Revision), fmt.Sprintf("above %d", base))
		}
		return raw, err
	}
}

// patchEdit adds or replaces routes by name and removes others.
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
		for _, u := range upsert {
			at := slices.IndexFunc(c.Routes, func(r config.Route) bool { return r.Name == u.Name })
			if at < 0 {
				c.Routes = append(c.Routes, u)
				continue
			}
			c.Routes[at] = u
		}
		raw := writeDocument(c)
		_, err = readDocument(raw)
		return raw, err
	}
}

// routeFor finds the route of a request as the document has it, or nothing.
func routeFor(c *config.Config, path string) *config.Route {
	var r *config.Route
	for i := range c.Routes {
		if o := &c.Routes[i]; strings.HasPrefix(path, o.Prefix) && (r == nil || len(o.Prefix) > len(r.Prefix)) {
			r = o
		}
	}
	return r
}
