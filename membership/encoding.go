package membership

import "github.com/mallowbridge/mallowbridge/wire"

// The types in this file are the encoded forms of messages. Their field names are part of the wire format and must not change.

func init() {
	wire.RegisterPlain("kp", Ping{})
	wire.RegisterPlain("ka", Ack{})
	wire.RegisterPlain("kf", PingFor{})
	wire.Register("km", encodeMember, decodeMember)
}

type encodedMember struct {
	Name     string
	Addr     string
	HTTP     string
	Domain   string
	Disk     string
	Inc      uint64
	State    State
	Build    uint32
	Libs     int
	Unfit    bool
	Retiring bool
}

func encodeMember(m Member) encodedMember {
	return encodedMember{
		Name: m.Name, Addr: m.Addr, HTTP: m.HTTP, Domain: m.Zone, Disk: m.Disk, Inc: m.Incarnation, State: m.State, Build: m.Build, Libs: m.EmbeddedRouters,
		Unfit: m.Degraded, Retiring: m.Retiring,
	}
}

func decodeMember(f encodedMember) Member {
	return Member{
		Name: f.Name, Addr: f.Addr, HTTP: f.HTTP, Zone: f.Domain, Disk: f.Disk, Incarnation: f.Inc, State: f.State, Build: f.Build, EmbeddedRouters: f.Libs,
		Degraded: f.Unfit, Retiring: f.Retiring,
	}
}
