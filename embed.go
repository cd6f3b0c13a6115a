package mallowbridge

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"gopkg.in/tomb.v2"
)

// Embed gives a caller's program its own router, which follows the daemon at addr.
func Embed(t *tomb.Tomb, addr, name, domain string, clock func() time.Duration) (d *Desk) {
	var boot [6]byte
	if _, err := rand.Read(boot[:]); err != nil {
		panic(err)
	}
	d = NewDesk(t, New(Defaults(name, hex.EncodeToString(boot[:]), domain)), clock, Idle)
	Follow(t, addr, name, func(w Welcome) { d.Tell(w) }, d.Tell)
	return d
}
