package process_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/standin/engine"
	"cuminbay/internal/standin/platform"
)

var (
	platformDown = platform.Faults{Down: "refuse"}
	platformUp   = platform.Faults{}
)

// engineRuns returns the number of requests that the engines of a data centre ran.
func (s *cluster) engineRuns(dataCentre string) (int64, error) {
	var sum int64
	for _, i := range s.roster {
		if i.DataCentre != dataCentreID(dataCentre) || s.engines[string(i.ID)] == nil {
			continue
		}
		var runs map[string]engine.PromptRuns
		if err := callJSON(http.MethodGet, i.Address+"/runs", nil, &runs); err != nil {
			return 0, err
		}
		for _, r := range runs {
			sum += r.Runs
		}
	}
	return sum, nil
}

// TestPlatformDown guards against serving that depends on the platform, an
// at-most-once call that is sent without a claim (promise 6), and a drain that does
// not take effect while the platform is unavailable (promises 4, 8 and 10).
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a", "b"}, daemons: 2, engines: 2, replicas: 1, services: 1})
	s.setFaults(s.platform, platformDown)
	s.requireThroughout(4*time.Second, "every daemon serves chats without the platform", func() error {
		for n, d := range s.daemons {
			a := d.chat(fmt.Sprintf("without %d", n))
			if err := a.checkComplete(fmt.Sprintf("without %d", n)); err != nil {
				return fmt.Errorf("%s: %w", d.name, err)
			}
		}
		return nil
	})
	for n, d := range s.daemons {
		a := d.reserve(fmt.Sprintf("down-%d", n))
		c.Check(a.errorObject.Code, qt.Equals, code.PlatformUnavailable, qt.Commentf("%s: %+v", d.name, a))
		c.Check(a.errorObject.Outcome, qt.Equals, code.NotRun)
	}
	runs, err := s.runsByKey()
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.HasLen, 0)

	exitCode, output := runCommand("", "drain", "datacentre/b", "--at", s.daemons[0].operatorAddress)
	c.Assert(exitCode, qt.Equals, 0, qt.Commentf("%s", output))
	checkDrained := func() error { return s.checkDrained("b") }
	s.await(5*time.Second, "every daemon has drained the data centre", checkDrained)
	before, err := s.engineRuns("b")
	c.Assert(err, qt.IsNil)
	var group sync.WaitGroup
	answers := make([]error, 24)
	for n := range answers {
		group.Go(func() {
			prompt := fmt.Sprintf("drained %d", n)
			a := s.daemons[n%len(s.daemons)].chat(prompt)
			answers[n] = a.checkCompleteOrCode(prompt)
		})
	}
	group.Wait()
	for _, err := range answers {
		c.Check(err, qt.IsNil)
	}
	after, err := s.engineRuns("b")
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.Equals, before, qt.Commentf("requests run at the drained data centre"))

	s.setFaults(s.platform, platformUp)
	s.await(10*time.Second, "at-most-once calls run again", func() error {
		if a := s.daemons[1].reserve("up"); !a.complete {
			return fmt.Errorf("want a complete answer, got %+v", a)
		}
		return nil
	})
	s.requireThroughout(time.Second, "the data centre stays drained", checkDrained)
}

// checkDrained returns an error unless every daemon has the drain status of the
// data centre and routes nothing to it.
func (s *cluster) checkDrained(dataCentre string) error {
	for _, d := range s.daemons {
		status, err := d.fetchStatus()
		if err != nil {
			return err
		}
		drained := false
		for _, drain := range status.Drains {
			drained = drained || drain.Drained && drain.Target == drainstatus.Target{Kind: drainstatus.DataCentre, ID: dataCentre}
		}
		if !drained {
			return fmt.Errorf("%s: data centre not drained, drain statuses %v", d.name, status.Drains)
		}
		for _, e := range status.Endpoints {
			if e.DataCentre == dataCentreID(dataCentre) {
				return fmt.Errorf("%s routes to %s of the drained data centre", d.name, e.ID)
			}
		}
	}
	return nil
}

// checkKeyKnown returns an error if the daemon does not accept the API key of an
// organisation.
func (d *daemon) checkKeyKnown(key string) error {
	if a := d.send(http.MethodGet, "/v1/models", "", "Authorization", "Bearer "+key); !a.complete || a.status != http.StatusOK {
		return fmt.Errorf("%s: key %s: %+v", d.name, key, a)
	}
	return nil
}

// putValue writes a value to the platform, bypassing the daemons.
func (s *cluster) putValue(key, value string) {
	s.t.Helper()
	b64 := base64.StdEncoding.EncodeToString
	body := map[string]string{"key": b64([]byte(key)), "value": b64([]byte(value))}
	if err := callJSON(http.MethodPost, s.platform.address+"/v3/kv/put", body, nil); err != nil {
		s.t.Fatal(err)
	}
}

// TestRecords guards against records that are not active at every daemon within
// 12 s, that revert to an older revision, or that an invalid revision replaces
// (promise 10).
func TestRecords(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const activationLimit = 12 * time.Second
	s := startCluster(t, clusterSize{dataCentres: []string{"a", "b"}, daemons: 2})
	onEveryDaemon := func(check func(d *daemon) error) func() error {
		return func() error {
			for _, d := range s.daemons {
				if err := check(d); err != nil {
					return err
				}
			}
			return nil
		}
	}
	bothActive := onEveryDaemon(func(d *daemon) error {
		if err := d.checkKeyKnown("key-one"); err != nil {
			return err
		}
		return d.checkKeyKnown("key-two")
	})
	s.writeRecord(s.daemons[0], "organisation/one", `{"schema":1,"key":"key-one"}`)
	s.writeRecord(s.daemons[3], "organisation/two", `{"schema":2,"keys":["key-two","key-three"]}`)
	s.await(activationLimit, "records of both schemas are active", bothActive)

	s.putValue("/cuminbay/records/organisation/one", `{"schema":2,"keys":[]}`)
	s.putValue("/cuminbay/records/organisation/two", `{"schema":9,"keys":["key-two"]}`)
	s.await(activationLimit, "every daemon rejects the invalid records with a reason", onEveryDaemon(func(d *daemon) error {
		status, err := d.fetchStatus()
		if err != nil {
			return err
		}
		reasons := 0
		for _, r := range status.Rejected {
			if r.Reason != "" {
				reasons++
			}
		}
		if reasons != 2 {
			return fmt.Errorf("%s: want two rejected records with a reason, got %+v", d.name, status.Rejected)
		}
		return nil
	}))
	c.Assert(bothActive(), qt.IsNil)

	s.raceWriters(c)

	s.setFaults(s.platform, platformDown)
	restarted := s.daemons[2]
	s.signal(restarted.process, syscall.SIGTERM)
	<-restarted.exited
	s.startProcess(restarted.process)
	s.await(activationLimit, "the restarted daemon receives the records from its peers", func() error {
		a := restarted.send(http.MethodGet, "/v1/models", "")
		if a.errorObject.Code == code.UnknownOrganisation {
			s.t.Fatalf("%s refused a key as unknown before it had the records: %+v", restarted.name, a)
		}
		if err := restarted.checkKeyKnown("demo-key"); err != nil {
			return err
		}
		return restarted.checkKeyKnown("key-race")
	})
	s.setFaults(s.platform, platformUp)
	s.await(activationLimit, "both records are active at every daemon", bothActive)
}

// raceWriters lets two operators write a record with the same expected revision
// through two daemons. Exactly one write must succeed.
func (s *cluster) raceWriters(c *qt.C) {
	exitCodes := make([]int, 2)
	var group sync.WaitGroup
	for n := range exitCodes {
		group.Go(func() {
			exitCodes[n], _ = runCommand(fmt.Sprintf(`{"schema":2,"keys":["key-race","key-race-%d"]}`, n),
				"record", "write", "organisation/race", "--revision", "0", "--at", s.daemons[n*2].operatorAddress, "--wait", "12s")
		})
	}
	group.Wait()
	winner := 0
	if exitCodes[0] != 0 {
		winner = 1
	}
	const conflictExitCode = 4
	c.Assert(exitCodes[winner], qt.Equals, 0, qt.Commentf("exit codes %v", exitCodes))
	c.Assert(exitCodes[1-winner], qt.Equals, conflictExitCode)
	for _, d := range s.daemons {
		c.Assert(d.checkKeyKnown(fmt.Sprintf("key-race-%d", winner)), qt.IsNil)
		c.Assert(d.checkKeyKnown(fmt.Sprintf("key-race-%d", 1-winner)), qt.IsNotNil)
	}
}
