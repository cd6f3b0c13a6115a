package config

import (
	"time"

	"github.com/mallowbridge/mallowbridge/wire"
)

// The types of this file are what a snapshot is sent as to programs that follow a node. Their field names are a format and stay as they
// are.

type encodedReplica struct {
	Name, Addr, Domain, Role string
	Room                     int
}

func encodeReplica(r Replica) encodedReplica {
	return encodedReplica{Name: r.Name, Addr: r.Addr, Domain: r.Domain, Role: r.Role, Room: r.Room}
}

func decodeReplica(f encodedReplica) Replica {
	return Replica{Name: f.Name, Addr: f.Addr, Domain: f.Domain, Role: f.Role, Room: f.Room}
}

type encodedKind struct {
	Name       string
	Value      float64
	Urgency    float64
	FirstToken time.Duration
	Repeatable bool
}

func encodeKind(k Kind) encodedKind { return encodedKind(k) }

func decodeKind(f encodedKind) Kind { return Kind(f) }

type encodedOffer struct {
	Name, Model string
	Replicas    []encodedReplica
	Kinds       []encodedKind
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

func encodeOffer(o Offer) encodedOffer {
	return encodedOffer{
		Name: o.Name, Model: o.Model, Replicas: wire.Each(o.Replicas, encodeReplica), Kinds: wire.Each(o.Kinds, encodeKind),
		ColdRoom: o.ColdRoom, ColdRamp: o.ColdRamp, SecondShare: o.SecondShare, SecondPlus: o.SecondPlus,
		StaleCap: o.StaleCap, Base: o.Base, PerToken: o.PerToken, KeepTokens: o.KeepTokens, CrossCost: o.CrossCost,
		Discovered: o.Discovered, Queues: o.Queues, Health: o.Health, MaxConns: o.MaxConns,
		ColdRate: o.ColdRate, ColdFor: o.ColdFor, Stride: o.Stride,
	}
}

func decodeOffer(f encodedOffer) Offer {
	return Offer{
		Name: f.Name, Model: f.Model, Replicas: wire.Each(f.Replicas, decodeReplica), Kinds: wire.Each(f.Kinds, decodeKind),
		ColdRoom: f.ColdRoom, ColdRamp: f.ColdRamp, SecondShare: f.SecondShare, SecondPlus: f.SecondPlus,
		StaleCap: f.StaleCap, Base: f.Base, PerToken: f.PerToken, KeepTokens: f.KeepTokens, CrossCost: f.CrossCost,
		Discovered: f.Discovered, Queues: f.Queues, Health: f.Health, MaxConns: f.MaxConns,
		ColdRate: f.ColdRate, ColdFor: f.ColdFor, Stride: f.Stride,
	}
}

type encodedWeightedOffer struct {
	Offer  string
	Weight float64
}

func encodeWeightedOffer(w WeightedOffer) encodedWeightedOffer {
	return encodedWeightedOffer{Offer: w.Offer, Weight: w.Weight}
}

func decodeWeightedOffer(f encodedWeightedOffer) WeightedOffer {
	return WeightedOffer{Offer: f.Offer, Weight: f.Weight}
}

type encodedRoute struct {
	Name, Host, Prefix               string
	Split                            []encodedWeightedOffer
	Streaming, Repeatable, Resumable bool
	Timeout, FirstToken, Gap         time.Duration
	Attempts                         int
	Rank                             int
}

func encodeRoute(r Route) encodedRoute {
	return encodedRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Split: wire.Each(r.Split, encodeWeightedOffer),
		Streaming: r.Streaming, Repeatable: r.Repeatable, Resumable: r.Resumable,
		Timeout: r.Timeout, FirstToken: r.FirstToken, Gap: r.Gap, Attempts: r.Attempts, Rank: r.Rank,
	}
}

func decodeRoute(f encodedRoute) Route {
	return Route{
		Name: f.Name, Host: f.Host, Prefix: f.Prefix, Split: wire.Each(f.Split, decodeWeightedOffer),
		Streaming: f.Streaming, Repeatable: f.Repeatable, Resumable: f.Resumable,
		Timeout: f.Timeout, FirstToken: f.FirstToken, Gap: f.Gap, Attempts: f.Attempts, Rank: f.Rank,
	}
}

type encodedConfig struct {
	Offers       []encodedOffer
	Routes       []encodedRoute
	Limits       Limits
	ReplaceVoter time.Duration
	Revision     uint64
}

func encodeConfig(c Config) encodedConfig {
	return encodedConfig{
		Offers: wire.Each(c.Offers, encodeOffer), Routes: wire.Each(c.Routes, encodeRoute), Limits: c.Limits,
		ReplaceVoter: c.ReplaceVoter, Revision: c.Revision,
	}
}

func decodeConfig(f encodedConfig) Config {
	return Config{
		Offers: wire.Each(f.Offers, decodeOffer), Routes: wire.Each(f.Routes, decodeRoute), Limits: f.Limits,
		ReplaceVoter: f.ReplaceVoter, Revision: f.Revision,
	}
}

// EncodedSnapshot is a Snapshot as it is sent.
type EncodedSnapshot struct {
	Mark    uint64
	Charter encodedConfig
	Emptied []string
}

// EncodeSnapshot gives the encoded form of a snapshot; nil for nil.
func EncodeSnapshot(s *Snapshot) *EncodedSnapshot {
	if s == nil {
		return nil
	}
	return &EncodedSnapshot{Mark: s.Mark, Charter: encodeConfig(s.Charter), Emptied: s.Emptied}
}

// Decode gives the snapshot of an encoded form; nil for nil.
func (f *EncodedSnapshot) Decode() *Snapshot {
	if f == nil {
		return nil
	}
	return &Snapshot{Mark: f.Mark, Charter: decodeConfig(f.Charter), Emptied: f.Emptied}
}
