package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
)

const (
	// healthInterval is the interval between two health checks of a daemon.
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// Balancer simulates the platform's load balancer. It picks daemons round robin
// among those whose last health check succeeded.
type Balancer struct {
	clk  clock.Clock
	http fasthttp.Client
	// daemons are the addresses of the daemons' listeners for callers.
	daemons []string
	healthy []atomic.Bool
	next    atomic.Uint64
}

// NewBalancer returns a balancer over the addresses of the daemons' listeners for
// callers. A daemon counts as healthy until its first check.
func NewBalancer(clk clock.Clock, daemons []string) *Balancer {
	b := &Balancer{clk: clk, daemons: daemons, healthy: make([]atomic.Bool, len(daemons))}
	b.http.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	for i := range b.healthy {
		b.healthy[i].Store(true)
	}
	return b
}

// Run checks the health of the daemons until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := b.clk.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		for i := range b.daemons {
			go b.checkHealth(i)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) checkHealth(i int) {
	status, _, err := b.http.GetTimeout(nil, "http://"+b.daemons[i]+"/health", healthTimeout)
	b.healthy[i].Store(err == nil && status == fasthttp.StatusOK)
}

// PickTarget returns the address of a daemon. It returns the address to avoid only if
// there is no other daemon.
func (b *Balancer) PickTarget(avoid string) string {
	start := b.next.Add(1)
	fallback := avoid
	for i := range uint64(len(b.daemons)) {
		n := (start + i) % uint64(len(b.daemons))
		switch {
		case b.daemons[n] == avoid:
		case b.healthy[n].Load():
			return b.daemons[n]
		case fallback == "":
			fallback = b.daemons[n]
		}
	}
	return fallback
}

// FixedTarget always picks the same address, to load a single engine or daemon.
type FixedTarget string

// PickTarget returns the address, even if it is the one to avoid.
func (t FixedTarget) PickTarget(string) string { return string(t) }
