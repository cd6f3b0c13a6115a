package config

import (
	"fmt"
	"net/netip"
	"time"
)

// MaxBytes is the longest document that is taken.
const MaxBytes = 1 << 20

const (
	maxName     = 64
	maxOffers   = 256
	maxReplicas = 4096
	maxKinds    = 64
)

// The types below are sent between nodes by gob and kept on disk in a Snapshot, so that their field names are part of the format
// and stay: an Offer is a service, a Kind a class of requests, Domain a zone, SecondShare and SecondPlus bound retries, Mark is a
// version, Charter the configuration, Emptied the evacuated zones.

// Replica is a replica that the document names.
type Replica struct {
	// Addr is an IP address and port; Role is "both", "prefill" or "decode".
	Name, Addr, Domain, Role string
	// Room is how many requests it runs at once.
	Room int
}

// Kind is a class of requests to a service.
type Kind struct {
	Name string
	// Value and Urgency multiply the priority of its requests.
	Value   float64
	Urgency float64
	// FirstToken is the aim for the first token, from the arrival.
	FirstToken time.Duration
	Repeatable bool
}

// Offer is a service: a model, its replicas and what they have in common.
type Offer struct {
	Name, Model string
	Replicas    []Replica
	Kinds       []Kind
	// ColdRoom is how many requests a new replica bears at first; that grows to its room over ColdRamp.
	ColdRoom int
	ColdRamp time.Duration
	// SecondShare is the most retries a first attempt, SecondPlus the most in hand beyond, over the fleet.
	SecondShare float64
	SecondPlus  int
	// StaleCap bounds how long a predicted holding is trusted.
	StaleCap time.Duration
	// Base and PerToken estimate the time to the first token of an idle replica.
	Base     time.Duration
	PerToken time.Duration
	// KeepTokens is how many tokens a replica's prefix cache keeps.
	KeepTokens int
	// CrossCost is added for replicas of other zones, in units of FirstToken.
	CrossCost float64

	// Discovered: the replicas come from the platform's list (Roster), none stand in the document.
	Discovered bool
	// Queues: replicas queue what is beyond their room and tell their load, so room is not divided among routers.
	Queues bool
	// Health is the path of a replica's health check as the document names it; nothing asks it.
	Health string
	// MaxConns is the most connections that a replica bears; 0: no bound.
	MaxConns int
	// ColdRate is how many requests a second a cold replica bears from all routers together; 0: no bound. It is cold for ColdFor.
	ColdRate float64
	ColdFor  time.Duration
	// Stride is how many tokens a piece of a stream may hold; 0 where replicas do not batch.
	Stride int
}

// WeightedOffer gives a service a part of a route's requests; weights are relative to each other.
type WeightedOffer struct {
	Offer  string
	Weight float64
}

// A Route takes requests by host and longest path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Split              []WeightedOffer
	// Streaming answers are series of events; Resumable ones may be taken up at another replica after the last event id.
	Streaming, Repeatable, Resumable bool
	// Timeout bounds a request as a whole, FirstToken is the aim for its answer or first event, Gap for each later one (0: none).
	Timeout, FirstToken, Gap time.Duration
	// Attempts is the most replicas that one request may be sent to.
	Attempts int
	// Rank 0 goes first.
	Rank int
}

// Limits bound what a client may send and how long it may take. Zero leaves the daemon's own bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

// Config is a whole document, read and checked. It is immutable.
type Config struct {
	Offers []Offer
	Routes []Route
	Limits Limits
	// ReplaceVoter is how long a voter must be lost until another takes its place; 0: never by itself.
	ReplaceVoter time.Duration
	// Revision is the operators' own number for the document; 0 where they give none.
	Revision uint64
}

// A Reader reads and checks an operators' document; Read is the product's own. Flaws of the document are an *InvalidError.
type Reader func(raw []byte) (Config, error)

// Snapshot is a whole configuration at one version (Mark), as agreed upon. It is immutable; the control node gives it to routers.
type Snapshot struct {
	Mark    uint64
	Charter Config
	Emptied []string
}

// Evacuated tells whether a zone is to get no requests.
func (p *Snapshot) Evacuated(zone string) bool {
	for _, evacuated := range p.Emptied {
		if evacuated == zone {
			return true
		}
	}
	return false
}

// ms reads a number of milliseconds.
func ms(d *Decoder, key string, def, min, max int) time.Duration {
	return time.Duration(d.Int(key, def, min, max)) * time.Millisecond
}

// Read reads the product's own JSON document; the error is an *InvalidError with every flaw.
func Read(raw []byte) (Config, error) {
	var c Config
	if len(raw) > MaxBytes {
		return c, flawed("$", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	d, err := Open(raw)
	if err != nil {
		return c, err
	}
	c.ReplaceVoter = readReplaceVoter(d)
	offers, reps := map[string]bool{}, map[string]bool{}
	for _, o := range d.List(offersField, 1, maxOffers) {
		c.Offers = append(c.Offers, readOffer(o, offers, reps))
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

func readOffer(d *Decoder, offers, reps map[string]bool) Offer {
	var o Offer
	o.Name = unique(d, "name", offers)
	o.Model = d.Str("model", true, maxName)
	for _, r := range d.List("replicas", 1, maxReplicas) {
		o.Replicas = append(o.Replicas, readReplica(r, reps))
	}
	kinds := map[string]bool{}
	for _, k := range d.List("kinds", 1, maxKinds) {
		o.Kinds = append(o.Kinds, readKind(k, kinds))
	}
	readWarmUp(d.Sub("cold"), &o)
	readRetries(d.Sub("secondGo"), &o)
	readEstimate(d.Sub("estimate"), &o)
	o.StaleCap = ms(d, "staleCapMs", 2000, 100, 2000)
	o.KeepTokens = d.Int("keepTokens", 65536, 0, 1<<30)
	o.CrossCost = d.Num("crossCost", 0.2, 0, 100)
	d.Close()
	return o
}

func readWarmUp(d *Decoder, o *Offer) {
	o.ColdRoom = d.Int("startRoom", 1, 1, 1024)
	o.ColdRamp = ms(d, "rampMs", 6000, 0, 600000)
	d.Close()
}

func readRetries(d *Decoder, o *Offer) {
	o.SecondShare = d.Num("share", 0.2, 0, 0.2)
	o.SecondPlus = d.Int("allowance", 24, 0, 48)
	d.Close()
}

func readEstimate(d *Decoder, o *Offer) {
	o.Base = ms(d, "baseMs", 60, 0, 60000)
	o.PerToken = time.Duration(d.Int("perTokenUs", 200, 0, 1000000)) * time.Microsecond
	d.Close()
}

// unique reads a name that must not stand twice.
func unique(d *Decoder, key string, seen map[string]bool) string {
	s := d.Str(key, true, maxName)
	if s != "" && seen[s] {
		d.Flaw(d.At(key), s, "named once")
	}
	seen[s] = true
	return s
}

func readReplica(d *Decoder, seen map[string]bool) Replica {
	var r Replica
	r.Name = unique(d, "name", seen)
	r.Addr = d.Str("addr", true, maxName)
	if _, err := netip.ParseAddrPort(r.Addr); err != nil && r.Addr != "" {
		d.Flaw(d.At("addr"), r.Addr, "an IP number and port")
	}
	r.Domain = d.Str("domain", true, maxName)
	r.Room = d.Int("room", 8, 1, 4096)
	r.Role = d.Str("role", false, maxName)
	switch r.Role {
	case "":
		r.Role = "both"
	case "both", "prefill", "decode":
	default:
		d.Flaw(d.At("role"), r.Role, "both, prefill or decode")
	}
	d.Close()
	return r
}

func readKind(d *Decoder, seen map[string]bool) Kind {
	var k Kind
	k.Name = unique(d, "name", seen)
	k.Value = d.Num("value", 1, 0.001, 1e6)
	k.Urgency = d.Num("urgency", 1, 0.001, 1e3)
	k.FirstToken = ms(d, "firstTokenMs", 2000, 10, 600000)
	k.Repeatable = d.Bool("repeatable", false)
	d.Close()
	return k
}
