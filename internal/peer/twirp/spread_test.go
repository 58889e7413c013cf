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

// spreadSeed fixes the random choices, so that each run has the same result.
const spreadSeed = 20261204

// randomDuration returns a random duration below d.
func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}

// simulateSpread simulates the exchanges of a data centre of n daemons and returns the
// greatest age that an attestation reaches at any daemon. In each interval a daemon
// exchanges with the daemons that chooseTargets returns; both then have the newer
// attestation of each owner. Every owner makes a new attestation after each period.
// The rounds of the daemons begin at random times. lossRate is the fraction of exchanges
// that fail.
func simulateSpread(n, fanout int, interval, period time.Duration, lossRate float64) time.Duration {
	const step, warmUp, duration = 10 * time.Millisecond, 20 * time.Second, 3 * time.Minute
	random := rand.New(rand.NewPCG(spreadSeed, 0))
	attestedAt := make([][]time.Duration, n)
	nextRound, nextAttestation := make([]time.Duration, n), make([]time.Duration, n)
	plugins := make([]*Plugin, n)
	var peers []member.Peer
	for i := range n {
		attestedAt[i] = make([]time.Duration, n)
		nextRound[i], nextAttestation[i] = randomDuration(random, interval), randomDuration(random, period)
		s := defaultSettings().(*Settings)
		s.Fanout = fanout
		id := ident.Instance(fmt.Sprint(i))
		plugins[i] = &Plugin{self: id, dataCentre: "x", settings: s, random: random}
		peers = append(peers, member.Peer{Instance: id, DataCentre: "x", Address: string(id), Alive: true})
	}
	var greatestAge time.Duration
	for now := time.Duration(0); now < duration; now += step {
		for i := range n {
			if nextAttestation[i] <= now {
				attestedAt[i][i], nextAttestation[i] = now, now+period
			}
			if nextRound[i] > now {
				continue
			}
			nextRound[i] = now + interval - interval/10 + randomDuration(random, interval/5)
			for _, m := range plugins[i].chooseTargets(peers) {
				if random.Float64() < lossRate {
					continue
				}
				var j int
				_, _ = fmt.Sscan(m.Address, &j)
				for owner := range n {
					a, b := &attestedAt[i][owner], &attestedAt[j][owner]
					if now > warmUp {
						greatestAge = max(greatestAge, now-min(*a, *b))
					}
					*a = max(*a, *b)
					*b = *a
				}
			}
		}
	}
	return greatestAge
}

// TestSpread guards against a fan-out so small that attestations or heartbeats reach
// some daemon of a data centre too late although at most one exchange in ten fails.
// An attestation is made every 500 ms and no longer counts at an age of 3 s. A daemon
// without a heartbeat for 3 s counts as failed, and heartbeats are processed up to
// 250 ms late (member.View.Tick).
func TestSpread(t *testing.T) {
	const attestation, heartbeat = 500 * time.Millisecond, 775 * time.Millisecond
	tests := map[string]struct {
		daemons  int
		period   time.Duration
		lossRate float64
	}{
		"small with loss":       {3, attestation, 0.1},
		"medium with loss":      {12, attestation, 0.1},
		"large":                 {60, attestation, 0},
		"large with loss":       {60, attestation, 0.1},
		"heartbeats when large": {60, heartbeat, 0.1},
	}
	s := defaultSettings().(*Settings)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			greatestAge := simulateSpread(test.daemons, s.Fanout, s.Interval.Duration, test.period, test.lossRate)
			qt.Assert(t, greatestAge < 3*time.Second, qt.IsTrue, qt.Commentf("%s", greatestAge))
		})
	}
}

// BenchmarkSpread reports the greatest age of an attestation or heartbeat, in seconds,
// by fan-out, interval and period, both in milliseconds.
func BenchmarkSpread(b *testing.B) {
	for _, fanout := range []int{1, 2, 3, 4} {
		for _, durations := range [][2]time.Duration{{500, 500}, {500, 775}, {500, 1275}, {750, 500}, {1000, 500}} {
			for _, lossRate := range []float64{0, 0.1} {
				b.Run(fmt.Sprintf("%dx%d/period=%d/lost=%g", fanout, durations[0], durations[1], lossRate), func(b *testing.B) {
					var greatestAge time.Duration
					for b.Loop() {
						greatestAge = max(greatestAge, simulateSpread(60, fanout, durations[0]*time.Millisecond, durations[1]*time.Millisecond, lossRate))
					}
					b.ReportMetric(greatestAge.Seconds(), "s-greatest-age")
				})
			}
		}
	}
}
