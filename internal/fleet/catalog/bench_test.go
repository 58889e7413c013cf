package catalog

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// BenchmarkApply measures the change of one server in fleets of two sizes.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{1095, 12000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cat := New(clockwork.NewFakeClock())
			update := Update{Config: newConfig(1)}
			for i := range servers {
				update.Servers = append(update.Servers, &cluster.Server{
					ID: ident.Instance(fmt.Sprintf("i-%05d", i)), Service: llm, Address: "i", DataCentre: "z",
					Membership: &cluster.Membership{Replica: ident.Replica(fmt.Sprint(i / 2)), Epoch: 3, Rank: unit.Rank(i % 2), Model: "m", State: cluster.Open},
				})
			}
			cat.Apply(update)
			one := Update{Servers: update.Servers[:1]}
			b.ReportAllocs()
			for b.Loop() {
				cat.Apply(one)
			}
		})
	}
}
