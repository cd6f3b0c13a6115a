package mallowbridge

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/router"
)

// Embed returns a router that follows the daemon at addr (host:port) until the tomb dies. name must be unique among the daemon's followers.
// zone is the router's zone until the daemon sends its own. clock is a monotonic clock.
func Embed(t *tomb.Tomb, addr, name, zone string, clock func() time.Duration) *Router {
	var boot [6]byte
	if _, err := rand.Read(boot[:]); err != nil {
		panic(err)
	}
	l := router.NewLoop(t, router.New(router.Defaults(name, hex.EncodeToString(boot[:]), zone)), clock, router.MaxLoopSleep)
	Follow(t, addr, name, func(w router.Welcome) { l.Notify(w) }, l.Notify)
	return l
}
