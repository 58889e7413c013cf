package process_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/proof/misbehaving"
)

// TestMisbehavingClients guards against callers that fill the memory or the descriptors of a daemon
// with requests that don't end or answers that they don't read, and against ordinary callers that are
// not served meanwhile.
func TestMisbehavingClients(t *testing.T) {
	const fields = "Authorization: Bearer demo-key\r\n"
	const body = 2 << 20
	// The limit of the daemon's memory, in megabytes.
	const memory = 96
	targets := map[string]func(d *daemon) misbehaving.Target{
		"generation": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/v1/chat/completions"}
		},
		"plain service": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/ledger/reserve"}
		},
		"unknown path": func(d *daemon) misbehaving.Target { return misbehaving.Target{Address: d.callerAddress, Path: "/none"} },
		"health": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/health"}
		},
	}
	for name, targetOf := range targets {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 1, services: 1, limits: processLimits{memory: memory, descriptors: misbehaving.DescriptorLimit, maxBody: body}})
			d := s.daemons[0]
			target := targetOf(d)
			target.Method, target.Fields = http.MethodPost, fields
			check := misbehaving.Check{
				Clock: clk, PID: d.cmd.Process.Pid, Memory: memory << 20, Target: target, Body: body,
			}
			behaviours := check.Behaviours()
			for _, behaviour := range slices.Sorted(maps.Keys(behaviours)) {
				t.Run(behaviour, func(t *testing.T) {
					c := qt.New(t)
					peak, err := check.Run(behaviours[behaviour], func() { s.checkServed(d) })
					c.Logf("peak %d MB, %d descriptors", peak.PeakMemory>>20, peak.Descriptors)
					c.Check(err, qt.IsNil)
				})
			}
		})
	}
}

// checkServed checks that an ordinary request and a health check are answered.
func (s *cluster) checkServed(d *daemon) {
	const answerWithin = 10 * time.Second
	s.await(answerWithin, "ordinary request answered", func() error {
		if a := d.reserve(fmt.Sprintf("ordinary-%d", clk.Now().UnixNano())); !a.complete {
			return fmt.Errorf("status %d, error %s, %w", a.status, a.errorObject.Type, a.err)
		}
		return nil
	})
	s.await(answerWithin, "health check answered", func() error {
		if a := d.send(http.MethodGet, "/health", ""); a.status != http.StatusOK {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
}
