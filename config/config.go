package config

import (
	"fmt"
	"net/netip"
	"time"
)

// MaxDocumentBytes is the longest document that is taken.
const MaxDocumentBytes = 1 << 20

const (
	maxName     = 64
	maxServices = 256
	maxReplicas = 4096
	maxClasses  = 64
)

// Replica is a replica that the document names.
type Replica struct {
	// Addr is an IP address and port; Role is "both", "prefill" or "decode".
	Name, Addr, Zone, Role string
	// Capacity is how many requests it runs at once.
	Capacity int
}

// RequestClass is a class of requests to a service.
type RequestClass struct {
	Name string
	// Value and Urgency multiply the priority of its requests.
	Value   float64
	Urgency float64
	// FirstTokenTarget is the aim for the first token, from the arrival.
	FirstTokenTarget time.Duration
	Idempotent       bool
}

// Service is a service: a model, its replicas and what they have in common.
type Service struct {
	Name, Model string
	Replicas    []Replica
	Classes     []RequestClass
	// WarmupCapacity is how many requests a new replica bears at first; that grows to its capacity over SlowStart.
	WarmupCapacity int
	SlowStart      time.Duration
	// RetryRatio is the most retries a first attempt, RetryExtra the most in hand beyond, over the fleet.
	RetryRatio     float64
	RetryAllowance int
	// MaxPredictionTTL bounds how long a predicted holding is trusted.
	MaxPredictionTTL time.Duration
	// BaseLatency and PerToken estimate the time to the first token of an idle replica.
	BaseLatency     time.Duration
	LatencyPerToken time.Duration
	// PrefixCacheTokens is how many tokens a replica's prefix cache keeps.
	PrefixCacheTokens int
	// CrossZoneCost is added for replicas of other zones, in units of FirstToken.
	CrossZoneCost float64

	// Discovered: the replicas come from the platform's list (Roster), none stand in the document.
	Discovered bool
	// Queues: replicas queue what is beyond their room and tell their load, so room is not divided among routers.
	Queues bool
	// HealthCheckPath is the path of a replica's health check as the document names it; nothing asks it.
	HealthCheckPath string
	// MaxConns is the most connections that a replica bears; 0: no bound.
	MaxConns int
	// WarmupRate is how many requests a second a replica that warms up bears from all routers together; 0: no bound. It is warming up for
	// WarmupTime.
	WarmupRate float64
	WarmupTime time.Duration
	// MaxTokensPerEvent is how many tokens a piece of a stream may hold; 0 where replicas do not batch.
	MaxTokensPerEvent int
}

// WeightedService gives a service a part of a route's requests; weights are relative to each other.
type WeightedService struct {
	Service string
	Weight  float64
}

// A Route takes requests by host and longest path prefix to services.
type Route struct {
	Name, Host, Prefix string
	TrafficSplit       []WeightedService
	// Streaming answers are series of events; Resumable ones may be resumed at another replica after the last event id.
	Streaming, Idempotent, Resumable bool
	// Timeout bounds a request as a whole, FirstTokenTarget is the aim for its answer or first event, EventGapTarget for each later one (0: none).
	Timeout, FirstTokenTarget, EventGapTarget time.Duration
	// MaxAttempts is the most replicas that one request may be sent to.
	MaxAttempts int
	// Priority 0 goes first.
	Priority int
	// Public: requests need no tenant's key.
	Public bool
}

// Limits bound what a client may send and how long it may take. Zero leaves the daemon's own bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

// Config is a whole document, read and checked. It is immutable.
type Config struct {
	Services []Service
	Routes   []Route
	// Tenants are those whose requests are taken; where there are none, anybody's are.
	Tenants []Tenant
	Limits  Limits
	// ReplaceVoterAfter is how long a voter must be lost until another takes its place; 0: never by itself.
	ReplaceVoterAfter time.Duration
	// Revision is the operators' own number for the document; 0 where they give none.
	Revision uint64
}

// A Reader reads and checks an operators' document; Read is the product's own. Flaws of the document are an *InvalidError.
type Reader func(raw []byte) (Config, error)

// Snapshot is a whole configuration at one version (Version), as agreed upon. It is immutable; the control node gives it to routers.
type Snapshot struct {
	Version        uint64
	Config         Config
	EvacuatedZones []string
}

// Evacuated tells whether a zone is to get no requests.
func (p *Snapshot) Evacuated(zone string) bool {
	for _, evacuated := range p.EvacuatedZones {
		if evacuated == zone {
			return true
		}
	}
	return false
}

// ms reads a number of milliseconds.
func ms(d *Decoder, key string, def, least, most int) time.Duration {
	return time.Duration(d.Int(key, def, least, most)) * time.Millisecond
}

// Read reads the product's own JSON document; the error is an *InvalidError with every violation.
func Read(raw []byte) (Config, error) {
	var c Config
	if len(raw) > MaxDocumentBytes {
		return c, flawed("$", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	d, err := NewDecoder(raw)
	if err != nil {
		return c, err
	}
	c.ReplaceVoterAfter = readReplaceVoter(d)
	services, reps := map[string]bool{}, map[string]bool{}
	for _, o := range d.List(servicesField, 1, maxServices) {
		c.Services = append(c.Services, readService(o, services, reps))
	}
	d.Close()
	if err = d.Err(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func readReplaceVoter(d *Decoder) time.Duration {
	return ms(d, replaceField, 0, 0, 86400000)
}

func readService(d *Decoder, services, reps map[string]bool) Service {
	var service Service
	service.Name = unique(d, "name", services)
	service.Model = d.String("model", true, maxName)
	for _, r := range d.List("replicas", 1, maxReplicas) {
		service.Replicas = append(service.Replicas, readReplica(r, reps))
	}
	classes := map[string]bool{}
	for _, k := range d.List("kinds", 1, maxClasses) {
		service.Classes = append(service.Classes, readKind(k, classes))
	}
	readWarmUp(d.Object("cold"), &service)
	readRetries(d.Object("secondGo"), &service)
	readEstimate(d.Object("estimate"), &service)
	service.MaxPredictionTTL = ms(d, "staleCapMs", 2000, 100, 2000)
	service.PrefixCacheTokens = d.Int("keepTokens", 65536, 0, 1<<30)
	service.CrossZoneCost = d.Number("crossCost", 0.2, 0, 100)
	d.Close()
	return service
}

func readWarmUp(d *Decoder, service *Service) {
	service.WarmupCapacity = d.Int("startRoom", 1, 1, 1024)
	service.SlowStart = ms(d, "rampMs", 6000, 0, 600000)
	d.Close()
}

func readRetries(d *Decoder, service *Service) {
	service.RetryRatio = d.Number("share", 0.2, 0, 0.2)
	service.RetryAllowance = d.Int("allowance", 24, 0, 48)
	d.Close()
}

func readEstimate(d *Decoder, service *Service) {
	service.BaseLatency = ms(d, "baseMs", 60, 0, 60000)
	service.LatencyPerToken = time.Duration(d.Int("perTokenUs", 200, 0, 1000000)) * time.Microsecond
	d.Close()
}

// unique reads a name that must not stand twice.
func unique(d *Decoder, key string, seen map[string]bool) string {
	s := d.String(key, true, maxName)
	if s != "" && seen[s] {
		d.AddViolation(d.FieldPath(key), s, "named once")
	}
	seen[s] = true
	return s
}

func readReplica(d *Decoder, seen map[string]bool) Replica {
	var r Replica
	r.Name = unique(d, "name", seen)
	r.Addr = d.String("addr", true, maxName)
	if _, err := netip.ParseAddrPort(r.Addr); err != nil && r.Addr != "" {
		d.AddViolation(d.FieldPath("addr"), r.Addr, "an IP number and port")
	}
	r.Zone = d.String("domain", true, maxName)
	r.Capacity = d.Int("room", 8, 1, 4096)
	r.Role = d.String("role", false, maxName)
	switch r.Role {
	case "":
		r.Role = "both"
	case "both", "prefill", "decode":
	default:
		d.AddViolation(d.FieldPath("role"), r.Role, "both, prefill or decode")
	}
	d.Close()
	return r
}

func readKind(d *Decoder, seen map[string]bool) RequestClass {
	var class RequestClass
	class.Name = unique(d, "name", seen)
	class.Value = d.Number("value", 1, 0.001, 1e6)
	class.Urgency = d.Number("urgency", 1, 0.001, 1e3)
	class.FirstTokenTarget = ms(d, "firstTokenMs", 2000, 10, 600000)
	class.Idempotent = d.Bool("repeatable", false)
	d.Close()
	return class
}
