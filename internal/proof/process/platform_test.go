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

// engineRuns counts what the engines of a data centre ran.
func (s *site) engineRuns(centre string) (int64, error) {
	var sum int64
	for _, i := range s.roster {
		if i.DataCentre != dc(centre) || s.engines[string(i.ID)] == nil {
			continue
		}
		var runs map[string]engine.Run
		if err := call(http.MethodGet, i.Address+"/runs", nil, &runs); err != nil {
			return 0, err
		}
		for _, r := range runs {
			sum += r.Runs
		}
	}
	return sum, nil
}

// TestPlatformDown guards against serving that depends on the platform, an
// at-most-once call that is sent without a claim (promise 6), and a drain that
// waits for the platform (promises 4, 8 and 10).
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := start(t, layout{centres: []string{"a", "b"}, daemons: 2, engines: 2, replicas: 1, services: 1})
	s.faults(s.platform, platformDown)
	s.hold(4*time.Second, "every daemon generates without the platform", func() error {
		for n, d := range s.daemons {
			a := d.chat(fmt.Sprintf("without %d", n))
			if err := a.whole(fmt.Sprintf("without %d", n)); err != nil {
				return fmt.Errorf("%s: %w", d.name, err)
			}
		}
		return nil
	})
	for n, d := range s.daemons {
		a := d.reserve(fmt.Sprintf("down-%d", n))
		c.Check(a.fault.Code, qt.Equals, code.PlatformUnavailable, qt.Commentf("%s: %+v", d.name, a))
		c.Check(a.fault.Outcome, qt.Equals, code.NotRun)
	}
	runs, err := s.ran()
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.HasLen, 0)

	exit, out := command("", "drain", "datacentre/b", "--at", s.daemons[0].operator)
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	drained := func() error { return s.drained("b") }
	s.await(5*time.Second, "the drain is in effect at every daemon", drained)
	before, err := s.engineRuns("b")
	c.Assert(err, qt.IsNil)
	var group sync.WaitGroup
	answers := make([]error, 24)
	for n := range answers {
		group.Go(func() {
			prompt := fmt.Sprintf("drained %d", n)
			a := s.daemons[n%len(s.daemons)].chat(prompt)
			answers[n] = a.accurate(prompt)
		})
	}
	group.Wait()
	for _, err := range answers {
		c.Check(err, qt.IsNil)
	}
	after, err := s.engineRuns("b")
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.Equals, before, qt.Commentf("runs at the drained data centre"))

	s.faults(s.platform, platformUp)
	s.await(10*time.Second, "at-most-once calls run again", func() error {
		if a := s.daemons[1].reserve("up"); !a.done {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	s.hold(time.Second, "the drain stays", drained)
}

// drained reports whether every daemon has the data centre out of service and
// routes nothing there.
func (s *site) drained(centre string) error {
	for _, d := range s.daemons {
		status, err := d.status()
		if err != nil {
			return err
		}
		out := false
		for _, m := range status.Drains {
			out = out || m.Drained && m.Target == drainstatus.Target{Kind: drainstatus.DataCentre, ID: centre}
		}
		if !out {
			return fmt.Errorf("%s: marks %v", d.name, status.Drains)
		}
		for _, e := range status.Endpoints {
			if e.DataCentre == dc(centre) {
				return fmt.Errorf("%s routes to %s", d.name, e.ID)
			}
		}
	}
	return nil
}

// models reports whether the daemon knows the organisation with the key.
func (d *daemon) models(key string) error {
	if a := d.ask(http.MethodGet, "/v1/models", "", "Authorization", "Bearer "+key); !a.done || a.status != http.StatusOK {
		return fmt.Errorf("%s: key %s: %+v", d.name, key, a)
	}
	return nil
}

// put writes a value straight into the platform.
func (s *site) put(key, value string) {
	s.t.Helper()
	b64 := base64.StdEncoding.EncodeToString
	body := map[string]string{"key": b64([]byte(key)), "value": b64([]byte(value))}
	if err := call(http.MethodPost, s.platform.address+"/v3/kv/put", body, nil); err != nil {
		s.t.Fatal(err)
	}
}

// TestRecords guards against records that are not in effect everywhere within
// 12 s, that revert, or that a bad one replaces (promise 10).
func TestRecords(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const within = 12 * time.Second
	s := start(t, layout{centres: []string{"a", "b"}, daemons: 2})
	everywhere := func(check func(d *daemon) error) func() error {
		return func() error {
			for _, d := range s.daemons {
				if err := check(d); err != nil {
					return err
				}
			}
			return nil
		}
	}
	bothActive := everywhere(func(d *daemon) error {
		if err := d.models("key-one"); err != nil {
			return err
		}
		return d.models("key-two")
	})
	s.write(s.daemons[0], "organisation/one", `{"schema":1,"key":"key-one"}`)
	s.write(s.daemons[3], "organisation/two", `{"schema":2,"keys":["key-two","key-three"]}`)
	s.await(within, "records of both schemas are active", bothActive)

	s.put("/cuminbay/records/organisation/one", `{"schema":2,"keys":[]}`)
	s.put("/cuminbay/records/organisation/two", `{"schema":9,"keys":["key-two"]}`)
	s.await(within, "every daemon rejects the bad records with a reason", everywhere(func(d *daemon) error {
		status, err := d.status()
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
			return fmt.Errorf("%s: rejected %+v", d.name, status.Rejected)
		}
		return nil
	}))
	c.Assert(bothActive(), qt.IsNil)

	s.race(c)

	s.faults(s.platform, platformDown)
	restarted := s.daemons[2]
	s.signal(restarted.process, syscall.SIGTERM)
	<-restarted.ended
	s.run(restarted.process)
	s.await(within, "the restarted daemon hears the records from its peers", func() error {
		a := restarted.ask(http.MethodGet, "/v1/models", "")
		if a.fault.Code == code.UnknownOrganisation {
			s.t.Fatalf("%s calls a key unknown before it has the records: %+v", restarted.name, a)
		}
		if err := restarted.models("demo-key"); err != nil {
			return err
		}
		return restarted.models("key-race")
	})
	s.faults(s.platform, platformUp)
	s.await(within, "every daemon has the records", bothActive)
}

// race lets two operators write the same revision through two daemons.
func (s *site) race(c *qt.C) {
	exits := make([]int, 2)
	var group sync.WaitGroup
	for n := range exits {
		group.Go(func() {
			exits[n], _ = command(fmt.Sprintf(`{"schema":2,"keys":["key-race","key-race-%d"]}`, n),
				"record", "write", "organisation/race", "--revision", "0", "--at", s.daemons[n*2].operator, "--wait", "12s")
		})
	}
	group.Wait()
	winner := 0
	if exits[0] != 0 {
		winner = 1
	}
	const lost = 4
	c.Assert(exits[winner], qt.Equals, 0, qt.Commentf("exit codes %v", exits))
	c.Assert(exits[1-winner], qt.Equals, lost)
	for _, d := range s.daemons {
		c.Assert(d.models(fmt.Sprintf("key-race-%d", winner)), qt.IsNil)
		c.Assert(d.models(fmt.Sprintf("key-race-%d", 1-winner)), qt.IsNotNil)
	}
}
