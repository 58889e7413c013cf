package twirp

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/member"
)

// spread runs the exchange rule alone over a data centre of n daemons and
// returns the greatest age of an attestation at any daemon: what choose selects
// at each interval, both sides of an exchange keep the newer attestation of each
// owner, and every owner makes one at each interval. Rounds fall at random times
// of the interval. The share lost of the exchanges fails.
func spread(n, fanout int, interval time.Duration, lost float64) time.Duration {
	const step, warm, end = 10 * time.Millisecond, 20 * time.Second, 3 * time.Minute
	made := make([][]time.Duration, n)
	next := make([]time.Duration, n)
	plugins := make([]*Plugin, n)
	var peers []member.Peer
	for i := range n {
		made[i] = make([]time.Duration, n)
		next[i] = rand.N(interval)
		s := defaults().(*Settings)
		s.Fanout = fanout
		id := ident.Instance(fmt.Sprint(i))
		plugins[i] = &Plugin{self: id, dataCentre: "x", settings: s}
		peers = append(peers, member.Peer{Instance: id, DataCentre: "x", Address: string(id), Alive: true})
	}
	var worst time.Duration
	for now := time.Duration(0); now < end; now += step {
		for i := range n {
			if next[i] > now {
				continue
			}
			next[i] = now + interval - interval/10 + rand.N(interval/5)
			made[i][i] = now
			for _, m := range plugins[i].choose(peers) {
				if rand.Float64() < lost {
					continue
				}
				var j int
				_, _ = fmt.Sscan(m.Address, &j)
				for owner := range n {
					a, b := &made[i][owner], &made[j][owner]
					if now > warm {
						worst = max(worst, now-min(*a, *b))
					}
					*a = max(*a, *b)
					*b = *a
				}
			}
		}
	}
	return worst
}

// TestSpread guards against a fan-out so small that attestations reach 3 s, the
// age at which they no longer count, at some daemon of the largest data centre
// although one exchange in ten is lost at most.
func TestSpread(t *testing.T) {
	tests := map[string]struct {
		daemons int
		lost    float64
	}{
		"today":                  {daemons: 3, lost: 0.1},
		"large data centre":      {daemons: 60},
		"large with lost tenth":  {daemons: 60, lost: 0.1},
		"medium with lost tenth": {daemons: 12, lost: 0.1},
	}
	s := defaults().(*Settings)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worst := spread(test.daemons, s.Fanout, s.Interval.Duration, test.lost)
			qt.Assert(t, worst < 3*time.Second, qt.IsTrue, qt.Commentf("%s", worst))
		})
	}
}

// BenchmarkSpread reports the greatest age by fan-out and interval.
func BenchmarkSpread(b *testing.B) {
	for _, fanout := range []int{1, 2, 3, 4} {
		for _, interval := range []time.Duration{250, 500, 750, 1000} {
			for _, lost := range []float64{0, 0.1} {
				b.Run(fmt.Sprintf("%dx%dms/lost=%g", fanout, interval, lost), func(b *testing.B) {
					var worst time.Duration
					for b.Loop() {
						worst = max(worst, spread(60, fanout, interval*time.Millisecond, lost))
					}
					b.ReportMetric(worst.Seconds(), "s-greatest-age")
				})
			}
		}
	}
}
