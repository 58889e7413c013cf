package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/proof/misbehaving"
	"cuminbay/internal/standin/engine"
	"cuminbay/internal/standin/service"
)

// TestEndlessReplies guards against a daemon that runs out of memory since it keeps what faulty engines
// and services send without end, and against requests of sound ones that end with it.
func TestEndlessReplies(t *testing.T) {
	const (
		// memory is the limit of the daemon's memory, in megabytes.
		memory   = 96
		callers  = 40
		hold     = 4 * time.Second
		interval = 20 * time.Millisecond
	)
	chat := func(stream bool, rest string) string {
		return fmt.Sprintf(`{"model":"assistant","stream":%t,"messages":[{"role":"user","content":"x"}]%s}`, stream, rest)
	}
	tests := map[string]struct {
		method, path, body string
	}{
		"body of a plain service":  {method: http.MethodGet, path: "/ledger/lots/1"},
		"answer of an engine":      {method: http.MethodPost, path: "/v1/chat/completions", body: chat(false, `,"tools":[]`)},
		"event of an engine":       {method: http.MethodPost, path: "/v1/chat/completions", body: chat(true, "")},
		"event of a joined answer": {method: http.MethodPost, path: "/v1/chat/completions", body: chat(false, "")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 1, engines: 4, replicas: 2, services: 2, limits: processLimits{memory: memory}})
			d := s.daemons[0]
			sound := func() error {
				a := d.chat("sound")
				return a.checkComplete("sound")
			}
			for _, p := range s.services {
				s.setFaults(p, service.Faults{Endless: test.method == http.MethodGet})
			}
			if test.method == http.MethodPost {
				sound = func() error {
					if a := d.reserve(fmt.Sprintf("sound-%d", clk.Now().UnixNano())); !a.complete {
						return fmt.Errorf("status %d, error %s, %w", a.status, a.errorObject.Type, a.err)
					}
					return nil
				}
				for _, p := range s.engines {
					s.setFaults(p, engine.Faults{Endless: true})
				}
			}
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for range callers {
				crowd.Go(func() { d.sendUntil(stop, test.method, test.path, test.body) })
			}
			peaks := make(misbehaving.Peaks)
			for end := clk.Now().Add(hold); clk.Now().Before(end); clk.Sleep(interval) {
				c.Assert(peaks.Measure(d.name, d.cmd.Process.Pid), qt.IsNil)
			}
			s.await(10*time.Second, "request to a sound endpoint answered", sound)
			close(stop)
			crowd.Wait()
			c.Logf("peak %d MB", peaks[d.name].PeakMemory>>20)
			c.Check(peaks.Check(memory<<20, misbehaving.DescriptorLimit<<4), qt.IsNil)
		})
	}
}

// sendUntil sends one request after the other until the channel is closed.
func (d *daemon) sendUntil(stop <-chan struct{}, method, path, body string) {
	for {
		select {
		case <-stop:
			return
		case <-clk.After(20 * time.Millisecond):
			d.send(method, path, body)
		}
	}
}
