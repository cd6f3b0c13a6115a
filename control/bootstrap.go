package control

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// bootstrapStagger is the delay between the bootstrap attempts of consecutive seeds, and the timeout and retry interval of each.
const bootstrapStagger = 1500 * time.Millisecond

// bootstrapState records whether this node's own bootstrap of the register is in progress, and when it last started one.
type bootstrapState struct {
	running bool
	at      time.Duration
}

// bootstrapFromSeeds bootstraps the register on a fleet's first start: once all seeds are known, those with a disk become its voters. The
// first seed starts and the others follow, each bootstrapStagger later. A seed that starts after another one finds the value that the
// earlier one wrote.
func (n *Node) bootstrapFromSeeds(now time.Duration) {
	if !n.config.Bootstraps || n.acceptor == nil || n.knownValue() != nil || n.bootstrapping.running || len(n.config.Seeds) == 0 {
		return
	}
	at := slices.Index(n.config.Seeds, n.config.Addr)
	if at < 0 || now-n.startedAt < time.Duration(at)*bootstrapStagger || now-n.bootstrapping.at < bootstrapStagger {
		return
	}
	var vs []register.Voter
	for _, addr := range n.config.Seeds {
		m, ok := n.memberAt(addr)
		if !ok {
			return
		}
		if m.Disk != "" {
			vs = append(vs, register.Voter{Disk: m.Disk, Name: m.Name})
		}
	}
	n.bootstrapping.running, n.bootstrapping.at = true, now
	n.logChange(ChangeBootstrap, fmt.Sprint(vs))
	id := n.operations.add(now, func(time.Duration, register.Result) { n.bootstrapping.running = false })
	fleet := fmt.Sprintf("%s.%s.%s", n.config.Name, n.config.BootID, strconv.FormatUint(n.config.Seed, 36))
	n.proposer.Bootstrap(now, now+bootstrapStagger, id, &register.Value{Fleet: fleet, Voters: vs})
}

func (n *Node) memberAt(addr string) (membership.Member, bool) {
	for _, m := range n.Members.Table.All() {
		if m.Addr == addr && m.Live() {
			return m, true
		}
	}
	var m membership.Member
	return m, false
}
