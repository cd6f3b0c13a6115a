package config

import (
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/wire"
)

// The types in this file are the encoded form of a snapshot, as a node sends it to programs that follow it. Their field names are part of
// the format and must not change.

type encodedReplica struct {
	Name, Addr, Domain, Role string
	Room                     int
}

func encodeReplica(r Replica) encodedReplica {
	return encodedReplica{Name: r.Name, Addr: r.Addr, Domain: r.Zone, Role: r.Role, Room: r.Capacity}
}

func decodeReplica(f encodedReplica) Replica {
	return Replica{Name: f.Name, Addr: f.Addr, Zone: f.Domain, Role: f.Role, Capacity: f.Room}
}

type encodedRequestClass struct {
	Name       string
	Value      float64
	Urgency    float64
	FirstToken time.Duration
	Repeatable bool
}

func encodeRequestClass(class RequestClass) encodedRequestClass {
	return encodedRequestClass{
		Name: class.Name, Value: class.Value, Urgency: class.Urgency, FirstToken: class.FirstTokenTarget, Repeatable: class.Idempotent,
	}
}

func decodeRequestClass(f encodedRequestClass) RequestClass {
	return RequestClass{Name: f.Name, Value: f.Value, Urgency: f.Urgency, FirstTokenTarget: f.FirstToken, Idempotent: f.Repeatable}
}

type encodedService struct {
	Name, Model string
	Replicas    []encodedReplica
	Kinds       []encodedRequestClass
	ColdRoom    int
	ColdRamp    time.Duration
	SecondShare float64
	SecondPlus  int
	StaleCap    time.Duration
	Base        time.Duration
	PerToken    time.Duration
	KeepTokens  int
	CrossCost   float64
	Discovered  bool
	Queues      bool
	Health      string
	MaxConns    int
	ColdRate    float64
	ColdFor     time.Duration
	Stride      int
}

func encodeService(service Service) encodedService {
	return encodedService{
		Name: service.Name, Model: service.Model, Replicas: wire.ConvertSlice(service.Replicas, encodeReplica), Kinds: wire.ConvertSlice(service.Classes, encodeRequestClass),
		ColdRoom: service.WarmupCapacity, ColdRamp: service.SlowStart, SecondShare: service.RetryRatio, SecondPlus: service.RetryAllowance,
		StaleCap: service.MaxPredictionTTL, Base: service.BaseLatency, PerToken: service.LatencyPerToken, KeepTokens: service.PrefixCacheTokens, CrossCost: service.CrossZoneCost,
		Discovered: service.Discovered, Queues: service.Queues, Health: service.HealthCheckPath, MaxConns: service.MaxConns,
		ColdRate: service.WarmupRate, ColdFor: service.WarmupTime, Stride: service.MaxTokensPerEvent,
	}
}

func decodeService(f encodedService) Service {
	return Service{
		Name: f.Name, Model: f.Model, Replicas: wire.ConvertSlice(f.Replicas, decodeReplica), Classes: wire.ConvertSlice(f.Kinds, decodeRequestClass),
		WarmupCapacity: f.ColdRoom, SlowStart: f.ColdRamp, RetryRatio: f.SecondShare, RetryAllowance: f.SecondPlus,
		MaxPredictionTTL: f.StaleCap, BaseLatency: f.Base, LatencyPerToken: f.PerToken, PrefixCacheTokens: f.KeepTokens, CrossZoneCost: f.CrossCost,
		Discovered: f.Discovered, Queues: f.Queues, HealthCheckPath: f.Health, MaxConns: f.MaxConns,
		WarmupRate: f.ColdRate, WarmupTime: f.ColdFor, MaxTokensPerEvent: f.Stride,
	}
}

type encodedWeightedService struct {
	Offer  string
	Weight float64
}

func encodeWeightedService(w WeightedService) encodedWeightedService {
	return encodedWeightedService{Offer: w.Service, Weight: w.Weight}
}

func decodeWeightedService(f encodedWeightedService) WeightedService {
	return WeightedService{Service: f.Offer, Weight: f.Weight}
}

type encodedRoute struct {
	Name, Host, Prefix               string
	Split                            []encodedWeightedService
	Streaming, Repeatable, Resumable bool
	Timeout, FirstToken, Gap         time.Duration
	Attempts                         int
	Rank                             int
}

func encodeRoute(r Route) encodedRoute {
	return encodedRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Split: wire.ConvertSlice(r.TrafficSplit, encodeWeightedService),
		Streaming: r.Streaming, Repeatable: r.Idempotent, Resumable: r.Resumable,
		Timeout: r.Timeout, FirstToken: r.FirstTokenTarget, Gap: r.EventGapTarget, Attempts: r.MaxAttempts, Rank: r.Priority,
	}
}

func decodeRoute(f encodedRoute) Route {
	return Route{
		Name: f.Name, Host: f.Host, Prefix: f.Prefix, TrafficSplit: wire.ConvertSlice(f.Split, decodeWeightedService),
		Streaming: f.Streaming, Idempotent: f.Repeatable, Resumable: f.Resumable,
		Timeout: f.Timeout, FirstTokenTarget: f.FirstToken, EventGapTarget: f.Gap, MaxAttempts: f.Attempts, Priority: f.Rank,
	}
}

type encodedConfig struct {
	Offers       []encodedService
	Routes       []encodedRoute
	Limits       Limits
	ReplaceVoter time.Duration
	Revision     uint64
}

func encodeConfig(c Config) encodedConfig {
	return encodedConfig{
		Offers: wire.ConvertSlice(c.Services, encodeService), Routes: wire.ConvertSlice(c.Routes, encodeRoute), Limits: c.Limits,
		ReplaceVoter: c.ReplaceVoterAfter, Revision: c.Revision,
	}
}

func decodeConfig(f encodedConfig) Config {
	return Config{
		Services: wire.ConvertSlice(f.Offers, decodeService), Routes: wire.ConvertSlice(f.Routes, decodeRoute), Limits: f.Limits,
		ReplaceVoterAfter: f.ReplaceVoter, Revision: f.Revision,
	}
}

// EncodedSnapshot is the encoded form of a Snapshot.
type EncodedSnapshot struct {
	Mark    uint64
	Charter encodedConfig
	Emptied []string
}

// EncodeSnapshot returns the encoded form of a snapshot; nil for nil. The encoded form contains no tenants, so routes that need a tenant's
// key are omitted: a program that follows a node must find no route rather than one that is open to everyone.
func EncodeSnapshot(s *Snapshot) *EncodedSnapshot {
	if s == nil {
		return nil
	}
	c := s.Config
	if len(c.Tenants) > 0 {
		c.Routes = slices.DeleteFunc(slices.Clone(c.Routes), func(r Route) bool { return !r.Public })
	}
	return &EncodedSnapshot{Mark: s.Version, Charter: encodeConfig(c), Emptied: s.EvacuatedZones}
}

// Decode returns the snapshot of an encoded form; nil for nil.
func (f *EncodedSnapshot) Decode() *Snapshot {
	if f == nil {
		return nil
	}
	return &Snapshot{Version: f.Mark, Config: decodeConfig(f.Charter), EvacuatedZones: f.Emptied}
}
