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

// TestPlannedStop guards against a planned stop of a daemon that cuts off streams
// (promise 9).
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, engines: 4, replicas: 2})
	stopping, other := s.daemons[0], s.daemons[1]
	const requestCount = 10
	answers := make(chan error, requestCount)
	for i := range requestCount {
		go func() {
			prompt := fmt.Sprintf("stopping %d", i)
			a := stopping.chat(prompt)
			answers <- a.checkComplete(prompt)
		}()
	}
	s.awaitInFlight(requestCount, stopping)
	s.signal(stopping.process, syscall.SIGTERM)
	s.await(time.Second, "the health check fails", func() error {
		if a := stopping.send(http.MethodGet, "/health", ""); a.status == http.StatusOK {
			return fmt.Errorf("HTTP status %d, want a failure", a.status)
		}
		return nil
	})
	c.Assert(stopping.running(), qt.IsTrue, qt.Commentf("the daemon ended while streams were in flight"))
	otherAnswer := other.chat("to the other daemon")
	c.Assert(otherAnswer.checkComplete("to the other daemon"), qt.IsNil)
	for range requestCount {
		c.Check(<-answers, qt.IsNil)
	}
	s.await(5*time.Second, "the daemon ends", func() error {
		if stopping.running() {
			return fmt.Errorf("%s is still running", stopping.name)
		}
		return nil
	})
	c.Assert(stopping.cmd.ProcessState.ExitCode(), qt.Equals, 0)
}

// TestSilentConnection guards against a stream that waits forever on a stalled
// connection, and against taking the replica out of service because of that
// connection (promise 5).
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, engines: 2, replicas: 1})
	status, err := s.daemons[0].fetchStatus()
	c.Assert(err, qt.IsNil)
	firstMember := s.engines[string(status.Replicas[0].Members[0])]
	const requestCount = 4
	type result struct {
		answer
		checkErr error
	}
	answers := make(chan result, requestCount)
	for i := range requestCount {
		go func() {
			prompt := fmt.Sprintf("stalled %d", i)
			a := s.daemons[i%2].chat(prompt)
			answers <- result{a, a.checkCompleteOrCode(prompt)}
		}()
	}
	s.awaitInFlight(requestCount, s.daemons...)
	s.setFaults(firstMember, engine.Faults{StallConnections: true})
	s.requireThroughout(stallTimeout+2*time.Second, "the replica stays in service", func() error {
		for _, d := range s.daemons {
			replicas, err := d.servedReplicas()
			if err == nil && len(replicas) != 1 {
				err = fmt.Errorf("%s routes to %v", d.name, replicas)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	for range requestCount {
		a := <-answers
		c.Check(a.checkErr, qt.IsNil)
		// A stream that is resumed after the stall timeout still takes up to a
		// second for the rest of its answer.
		c.Check(a.duration < stallTimeout+3*time.Second, qt.IsTrue, qt.Commentf("the answer took %s", a.duration))
	}
	for _, d := range s.daemons {
		a := d.chat("after the stall")
		c.Assert(a.checkComplete("after the stall"), qt.IsNil)
	}
}

// incarnations reads the incarnation of each engine. A crash increments it.
func (s *cluster) incarnations() (map[ident.Instance]unit.Incarnation, error) {
	incarnations := make(map[ident.Instance]unit.Incarnation)
	for name := range s.engines {
		r, err := s.fetchEngineReport(instanceID(name))
		if err != nil {
			return nil, err
		}
		incarnations[instanceID(name)] = r.Incarnation
	}
	return incarnations, nil
}

// TestPoisonRequest guards against a request that crashes one replica after
// another. The request must be refused as not run only when it is no longer sent to
// any replica (promise 6).
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 3, engines: 8, replicas: 4})
	before, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	for _, p := range s.engines {
		s.setFaults(p, engine.Faults{CrashOn: "poison"})
	}
	first := s.daemons[0].chat("poison")
	c.Assert(first.errorObject.Code, qt.Not(qt.Equals), code.Code(0))
	s.awaitPoisonRefused("poison")
	// Crash counts reach every daemon of the data centre within one or two rounds
	// of peer exchanges.
	<-clk.After(time.Second)
	for _, d := range s.daemons {
		a := d.chat("poison")
		c.Check(a.errorObject.Code, qt.Equals, code.PoisonRequest, qt.Commentf("%s: %+v", d.name, a))
	}
	s.awaitServing(4, 0)
	for _, d := range s.daemons {
		a := d.chat("harmless")
		c.Check(a.checkComplete("harmless"), qt.IsNil)
	}
	after, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	crashes := unit.Incarnation(0)
	for i, incarnation := range after {
		crashes += incarnation - before[i]
	}
	c.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("the request crashed engines %d times", crashes))
}

// TestPoisonAfterLossOfAllDaemons guards against a request that crashes replicas and is run again after
// all daemons were killed at the same moment.
func TestPoisonAfterLossOfAllDaemons(t *testing.T) {
	t.Parallel()
	const prompt = "poison"
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, engines: 8, replicas: 4})
	for _, p := range s.engines {
		s.setFaults(p, engine.Faults{CrashOn: prompt})
	}
	s.awaitPoisonRefused(prompt)
	// The refusal is written while the caller gets its answer.
	<-clk.After(time.Second)
	s.awaitServing(4, 0)
	before, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	for _, d := range s.daemons {
		s.signal(d.process, syscall.SIGKILL)
	}
	for _, d := range s.daemons {
		<-d.exited
		s.startProcess(d.process)
	}
	s.awaitServing(4, 0)
	for _, d := range s.daemons {
		a := d.chat(prompt)
		c.Check(a.errorObject.Code, qt.Equals, code.PoisonRequest, qt.Commentf("%s: %+v", d.name, a))
	}
	after, err := s.incarnations()
	c.Assert(err, qt.IsNil)
	c.Check(after, qt.DeepEquals, before, qt.Commentf("replicas have crashed again"))
}

// awaitPoisonRefused sends a prompt that crashes engines until it is refused as not run.
func (s *cluster) awaitPoisonRefused(prompt string) {
	s.await(5*time.Second, "the request is refused as poison", func() error {
		if a := s.daemons[0].chat(prompt); a.errorObject.Code != code.PoisonRequest || a.errorObject.Outcome != code.NotRun {
			return fmt.Errorf("want code poison-request and outcome not-run, got %+v", a)
		}
		return nil
	})
}
