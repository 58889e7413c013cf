package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/unit"
)

// BenchmarkRefresh measures the computation of all shares, which each daemon makes every
// refreshInterval while servers name limits.
func BenchmarkRefresh(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{8, 20}, {295, 75}, {840, 800}} {
		b.Run(fmt.Sprintf("daemons=%d,servers=%d", size.daemons, size.servers), func(b *testing.B) {
			clk := clockwork.NewFakeClock()
			l := newTestLimits(clk, 0, newFixedDaemons(size.daemons))
			limit := unit.RequestRate(5)
			for i := range size.servers {
				l.Observe(newTestEndpoint(i), &limit)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.refreshedAt = time.Time{}
				l.Refresh()
			}
		})
	}
}
