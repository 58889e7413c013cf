package process_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/standin/engine"
)

// TestPlannedStop guards against a planned stop that cuts streams off
// (promise 9).
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{centres: []string{"a"}, daemons: 2, engines: 4, replicas: 2})
	leaving, other := s.daemons[0], s.daemons[1]
	const n = 10
	answers := make(chan error, n)
	for i := range n {
		go func() {
			prompt := fmt.Sprintf("leaving %d", i)
			a := leaving.chat(prompt)
			answers <- a.checkWhole(prompt)
		}()
	}
	s.awaitInFlight(n, leaving)
	s.signal(leaving.process, syscall.SIGTERM)
	s.await(time.Second, "the health check fails", func() error {
		if a := leaving.send(http.MethodGet, "/health", ""); a.status == http.StatusOK {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
	c.Assert(leaving.running(), qt.IsTrue, qt.Commentf("the daemon ended with streams in flight"))
	otherAnswer := other.chat("elsewhere")
	c.Assert(otherAnswer.checkWhole("elsewhere"), qt.IsNil)
	for range n {
		c.Check(<-answers, qt.IsNil)
	}
	s.await(5*time.Second, "the daemon ends", func() error {
		if leaving.running() {
			return fmt.Errorf("%s still runs", leaving.name)
		}
		return nil
	})
	c.Assert(leaving.cmd.ProcessState.ExitCode(), qt.Equals, 0)
}

// TestSilentConnection guards against a stream that waits for ever on a stalled
// connection, and against taking its replica out of service (promise 5).
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{centres: []string{"a"}, daemons: 2, engines: 2, replicas: 1})
	status, err := s.daemons[0].status()
	c.Assert(err, qt.IsNil)
	leader := s.engines[string(status.Replicas[0].Members[0])]
	const n = 4
	type result struct {
		answer
		checkErr error
	}
	answers := make(chan result, n)
	for i := range n {
		go func() {
			prompt := fmt.Sprintf("silent %d", i)
			a := s.daemons[i%2].chat(prompt)
			answers <- result{a, a.checkWholeOrCode(prompt)}
		}()
	}
	s.awaitInFlight(n, s.daemons...)
	s.setFaults(leader, engine.Faults{Silent: true})
	s.requireThroughout(stallTimeout+2*time.Second, "the replica stays in service", func() error {
		for _, d := range s.daemons {
			serving, err := d.servedReplicas()
			if err == nil && len(serving) != 1 {
				err = fmt.Errorf("%s routes to %v", d.name, serving)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	for range n {
		a := <-answers
		c.Check(a.checkErr, qt.IsNil)
		// A resumed stream takes the rest of its second after the limit.
		c.Check(a.duration < stallTimeout+3*time.Second, qt.IsTrue, qt.Commentf("took %s", a.duration))
	}
	for _, d := range s.daemons {
		a := d.chat("after the silence")
		c.Assert(a.checkWhole("after the silence"), qt.IsNil)
	}
}

// incarnations reads the boot numbers of the engines; a crash raises them.
func (s *cluster) incarnations() (map[ident.Instance]unit.Incarnation, error) {
	boots := make(map[ident.Instance]unit.Incarnation)
	for name := range s.engines {
		r, err := s.engineReport(instanceID(name))
		if err != nil {
			return nil, err
		}
		boots[instanceID(name)] = r.Incarnation
	}
	return boots, nil
}

// TestPoisonRequest guards against one request that crashes every replica
// (promise 6: it is refused as not run only once it is not sent any more).
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{centres: []string{"a"}, daemons: 3, engines: 8, replicas: 4})
	before, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	for _, p := range s.engines {
		s.setFaults(p, engine.Faults{CrashOn: "poison"})
	}
	first := s.daemons[0].chat("poison")
	c.Assert(first.callError.Code, qt.Not(qt.Equals), code.Code(0))
	s.await(5*time.Second, "the request is refused as poison", func() error {
		if a := s.daemons[0].chat("poison"); a.callError.Code != code.PoisonRequest || a.callError.Outcome != code.NotRun {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	// Suspicions reach every daemon of the data centre in one or two exchanges.
	<-clk.After(time.Second)
	for _, d := range s.daemons {
		a := d.chat("poison")
		c.Check(a.callError.Code, qt.Equals, code.PoisonRequest, qt.Commentf("%s: %+v", d.name, a))
	}
	s.awaitServing(4, 0)
	for _, d := range s.daemons {
		a := d.chat("harmless")
		c.Check(a.checkWhole("harmless"), qt.IsNil)
	}
	after, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	crashes := unit.Incarnation(0)
	for i, boot := range after {
		crashes += boot - before[i]
	}
	c.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
}
