package crux

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/kin"
	"github.com/mallowbridge/mallowbridge/pact"
	"github.com/mallowbridge/mallowbridge/rumor"
)

const body = `{"offers":[{"name":"o","model":"m","replicas":[{"name":"r","addr":"127.0.0.1:9","domain":"a"}],"kinds":[{"name":"k"}]}]}`

func value(mark uint64) (v *pact.Value) {
	return &pact.Value{Fleet: "f", Mark: mark, Seat: 1, Body: []byte(body), Voters: []pact.Voter{{Disk: "d1", Name: "n1"}, {Disk: "d2", Name: "n2"}, {Disk: "d3", Name: "n3"}}}
}

// A core starts with an old picture on its disk, and one neighbour is as far behind. Others answer its pings, but no voter answers.
func TestNoPictureIsObeyedBeforeItWasRead(t *testing.T) {
	n := New(0, Config{
		Name: "n1", Addr: "a1", Boot: "b", Domain: "a", Seeds: []string{"a2", "a4"}, Disk: &Kept{Pact: pact.State{Disk: "d1", Value: value(1)}},
		Kin: kin.Defaults(), Rumor: rumor.Defaults(),
	})
	for _, name := range []string{"n2", "n4"} {
		n.Kin.Hear(0, kin.Member{Name: name, Addr: "a" + name[1:], Domain: "a", Inc: 1})
	}
	var orders []uint64
	step := func(now time.Duration, in In) (out Out) {
		out = n.Step(now, in)
		for _, ev := range out.Events {
			if o, ok := ev.(mallowbridge.Order); ok {
				orders = append(orders, o.Picture.Mark)
			}
		}
		return out
	}
	tell := func(now time.Duration, from string, mark uint64) {
		step(now, Recv{From: from, Msg: rumor.News{Items: []rumor.Item{{Key: "c", Mark: rumor.Mark{Hi: mark, Lo: 1}, Data: value(mark)}}}})
	}
	now := time.Duration(0)
	tell(now, "a2", 1)
	for ; now < 20*time.Second; now += 50 * time.Millisecond {
		for _, s := range step(now, Tick{}).Sends {
			if p, ok := s.Msg.(kin.Ping); ok {
				step(now, Recv{From: s.To, Msg: kin.Ack{Seq: p.Seq}})
			}
		}
	}
	if why := n.hindrance(now); len(orders) > 0 || why != "catching up" {
		t.Fatalf("orders %v, hindrance %q after one neighbour was read", orders, why)
	}
	tell(now, "a4", 2)
	step(now+50*time.Millisecond, Tick{})
	if len(orders) != 1 || orders[0] != 2 {
		t.Errorf("obeyed %v after another neighbour told mark 2", orders)
	}
}
