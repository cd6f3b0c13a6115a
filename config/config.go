package config

import (
	"fmt"
	"net/netip"
	"time"
)

const MaxBytes = 1 << 20

type Replica struct {
	Name, Addr, Domain, Role string
	Room                     int
}

type Kind struct {
	Name       string
	Value      float64
	Urgency    float64
	FirstToken time.Duration
	Repeatable bool
}

type Offer struct {
	Name, Model string
	Replicas    []Replica
	Kinds       []Kind
	ColdRoom    int
	ColdRamp    time.Duration
	SecondShare float64
	SecondPlus  int
	StaleCap    time.Duration
	Base        time.Duration
	PerToken    time.Duration
	KeepTokens  int
	CrossCost   float64

	// Discovered: the replicas come from the platform's list (Roster), none stand in the document.
	Discovered bool
	// Queues: replicas queue what is beyond their room and tell their load, so room is not divided among routers.
	Queues   bool
	Health   string
	MaxConns int
	// ColdRate is how many requests a second a cold replica bears from all routers together; 0: no bound.
	ColdRate float64
	ColdFor  time.Duration
	// Stride is how many tokens a piece of a stream may hold; 0 where replicas do not batch.
	Stride int
}

// Split sends a part of a route's requests to an offer.
type WeightedOffer struct {
	Offer  string
	Weight float64
}

// A Route takes requests by host and longest path prefix to offers.
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

// Limits bound what a user agent may send and how long it may take. Zero leaves the daemon's own bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

type Config struct {
	Offers       []Offer
	Routes       []Route
	Limits       Limits
	ReplaceVoter time.Duration
	// Revision is the operators' own number for the document; 0 where they give none.
	Revision uint64
}

// A Reader reads and checks an operators' document; Read is the product's own.
type Reader func(raw []byte) (c Config, err error)

type Snapshot struct {
	Mark    uint64
	Charter Config
	Emptied []string
}

func (p *Snapshot) Evacuated(domain string) (yes bool) {
	for _, d := range p.Emptied {
		if d == domain {
			return true
		}
	}
	return false
}

const name = 64

func ms(d *Decoder, key string, def, min, max int) (t time.Duration) {
	return time.Duration(d.Int(key, def, min, max)) * time.Millisecond
}

func Read(raw []byte) (c Config, err error) {
	if len(raw) > MaxBytes {
		return c, flawed("$", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	d, err := Open(raw)
	if err != nil {
		return c, err
	}
	c.ReplaceVoter = ms(d, "replaceLostVoterMs", 0, 0, 86400000)
	offers, reps := map[string]bool{}, map[string]bool{}
	for _, o := range d.List("offers", 1, 256) {
		c.Offers = append(c.Offers, readOffer(o, offers, reps))
	}
	d.Close()
	if err = d.Err(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func readOffer(d *Decoder, offers, reps map[string]bool) (o Offer) {
	o.Name = unique(d, "name", offers)
	o.Model = d.Str("model", true, name)
	for _, r := range d.List("replicas", 1, 4096) {
		o.Replicas = append(o.Replicas, readReplica(r, reps))
	}
	kinds := map[string]bool{}
	for _, k := range d.List("kinds", 1, 64) {
		o.Kinds = append(o.Kinds, readKind(k, kinds))
	}
	cold := d.Sub("cold")
	o.ColdRoom = cold.Int("startRoom", 1, 1, 1024)
	o.ColdRamp = ms(cold, "rampMs", 6000, 0, 600000)
	cold.Close()
	second := d.Sub("secondGo")
	o.SecondShare = second.Num("share", 0.2, 0, 0.2)
	o.SecondPlus = second.Int("allowance", 24, 0, 48)
	second.Close()
	est := d.Sub("estimate")
	o.Base = ms(est, "baseMs", 60, 0, 60000)
	o.PerToken = time.Duration(est.Int("perTokenUs", 200, 0, 1000000)) * time.Microsecond
	est.Close()
	o.StaleCap = ms(d, "staleCapMs", 2000, 100, 2000)
	o.KeepTokens = d.Int("keepTokens", 65536, 0, 1<<30)
	o.CrossCost = d.Num("crossCost", 0.2, 0, 100)
	d.Close()
	return o
}

func unique(d *Decoder, key string, seen map[string]bool) (s string) {
	s = d.Str(key, true, name)
	if s != "" && seen[s] {
		d.Flaw(d.At(key), s, "named once")
	}
	seen[s] = true
	return s
}

func readReplica(d *Decoder, seen map[string]bool) (r Replica) {
	r.Name = unique(d, "name", seen)
	r.Addr = d.Str("addr", true, name)
	if _, err := netip.ParseAddrPort(r.Addr); err != nil && r.Addr != "" {
		d.Flaw(d.At("addr"), r.Addr, "an IP number and port")
	}
	r.Domain = d.Str("domain", true, name)
	r.Room = d.Int("room", 8, 1, 4096)
	r.Role = d.Str("role", false, name)
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

func readKind(d *Decoder, seen map[string]bool) (k Kind) {
	k.Name = unique(d, "name", seen)
	k.Value = d.Num("value", 1, 0.001, 1e6)
	k.Urgency = d.Num("urgency", 1, 0.001, 1e3)
	k.FirstToken = ms(d, "firstTokenMs", 2000, 10, 600000)
	k.Repeatable = d.Bool("repeatable", false)
	d.Close()
	return k
}
