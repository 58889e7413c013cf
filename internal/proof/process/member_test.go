package process_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// chatLoad sends chats at once, in turn to each daemon, and checks the answers.
type chatLoad struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// failures are what was wrong with answers, whole the number of whole ones.
	failures   []error
	wholeCount int
}

func (x *chatLoad) send(n int, name string, daemons ...*daemon) {
	for i := range n {
		x.group.Go(func() { x.sendOne(fmt.Sprintf("%s %d", name, i), daemons[i%len(daemons)]) })
	}
}

func (x *chatLoad) sendOne(prompt string, d *daemon) {
	a := d.chat(prompt)
	err := a.checkWholeOrCode(prompt)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.failures = append(x.failures, fmt.Errorf("%s: %w", d.name, err))
	}
	if a.complete {
		x.wholeCount++
	}
}

// sendUntil sends chats to the daemon, one after the other, until stop is closed.
func (x *chatLoad) sendUntil(d *daemon, stop <-chan struct{}) {
	x.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				x.sendOne(fmt.Sprintf("load %d", n), d)
			}
		}
	})
}

// checkAnswers returns when all are answered.
func (x *chatLoad) checkAnswers(c *qt.C) {
	x.group.Wait()
	c.Assert(x.failures, qt.HasLen, 0, qt.Commentf("answers that are neither whole nor end in a code"))
}

// awaitInFlight waits until the daemons have at least n requests in flight.
func (s *cluster) awaitInFlight(n unit.Requests, daemons ...*daemon) {
	s.t.Helper()
	s.await(5*time.Second, "the streams are in flight", func() error {
		var sum unit.Requests
		for _, d := range daemons {
			status, err := d.status()
			if err != nil {
				return err
			}
			sum += status.InFlight
		}
		if sum < n {
			return fmt.Errorf("%d of %d", sum, n)
		}
		return nil
	})
}

// checkWithout reports whether no daemon routes to a replica with the instance, and
// whether each routes to as many replicas as wanted.
func (s *cluster) checkWithout(victim ident.Instance, replicas int) error {
	for _, d := range s.daemons {
		if !d.running() {
			continue
		}
		serving, err := d.servedReplicas()
		if err != nil {
			return err
		}
		for replica, members := range serving {
			if slices.Contains(members, victim) {
				return fmt.Errorf("%s routes to %s of %v", d.name, replica, members)
			}
		}
		if len(serving) < replicas {
			return fmt.Errorf("%s routes to %d replicas, want %d", d.name, len(serving), replicas)
		}
	}
	return nil
}

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// checkAgreement compares what daemons attest with what every engine says of itself.
func (s *cluster) checkAgreement() error {
	reports := make(map[ident.Instance]*report.Report)
	instanceByRank := make(map[string]ident.Instance)
	for name := range s.engines {
		r, err := s.engineReport(instanceID(name))
		if err != nil {
			return err
		}
		reports[instanceID(name)] = r
		if r.Replica == "" {
			continue
		}
		place := fmt.Sprintf("rank %d of %s", r.Rank, r.Replica)
		if other, taken := instanceByRank[place]; taken {
			return fmt.Errorf("%s and %s both report %s", other, name, place)
		}
		instanceByRank[place] = instanceID(name)
	}
	for _, d := range s.daemons {
		status, err := d.status()
		if err != nil {
			return err
		}
		replicaOf := make(map[ident.Instance]ident.Replica)
		for _, r := range status.Replicas {
			for rank, m := range r.Members {
				reported := reports[m]
				if r.Serving && (reported.Replica != r.Replica || reported.Epoch != r.Epoch || int(reported.Rank) != rank) {
					return fmt.Errorf("%s: member %s of %s epoch %d reports %+v", d.name, m, r.Replica, r.Epoch, reported.Placement)
				}
				if other, twice := replicaOf[m]; twice && r.Serving {
					return fmt.Errorf("%s: %s is in %s and %s", d.name, m, other, r.Replica)
				}
				if r.Serving {
					replicaOf[m] = r.Replica
				}
			}
		}
	}
	return nil
}

// TestMemberFails guards against a replica that serves with part of its
// instances (promise 1), an instance in two replicas (promise 2), and answers
// that are cut off without an error or mixed up (promise 5).
func TestMemberFails(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		rank   int
		signal syscall.Signal
	}{
		"first member killed": {0, syscall.SIGKILL},
		"last member killed":  {1, syscall.SIGKILL},
		"first member paused": {0, syscall.SIGSTOP},
		"last member paused":  {1, syscall.SIGSTOP},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			const replicas = 2
			s := startCluster(t, clusterSize{centres: []string{"a"}, daemons: 2, engines: 2*replicas + 1, replicas: replicas})
			status, err := s.daemons[0].status()
			c.Assert(err, qt.IsNil)
			victim := status.Replicas[0].Members[test.rank]
			var chats chatLoad
			stop := make(chan struct{})
			chats.send(12, name, s.daemons...)
			for _, d := range s.daemons {
				chats.sendUntil(d, stop)
			}
			s.awaitInFlight(12, s.daemons...)
			s.signal(s.engines[string(victim)], test.signal)
			s.await(5*time.Second, "the broken replica is out of every table", func() error { return s.checkWithout(victim, 0) })
			s.await(15*time.Second, "the replica is repaired with the spare", func() error {
				if err := s.checkWithout(victim, 0); err != nil {
					s.t.Fatalf("the broken replica came back: %v", err)
				}
				return s.checkWithout(victim, replicas)
			})
			close(stop)
			chats.checkAnswers(c)
			c.Assert(chats.wholeCount > 0, qt.IsTrue)
			if test.signal == syscall.SIGSTOP {
				s.signal(s.engines[string(victim)], syscall.SIGCONT)
				s.await(5*time.Second, "the members agree", s.checkAgreement)
				s.requireThroughout(2*time.Second, "the members went on agreeing", s.checkAgreement)
			}
			for _, d := range s.daemons {
				a := d.chat("afterwards")
				c.Assert(a.checkWhole("afterwards"), qt.IsNil)
			}
		})
	}
}

// planner returns the daemon that holds the planner's lease in the platform.
func (s *cluster) planner(centre string) (*daemon, error) {
	var found struct {
		Kvs []struct{ Value []byte }
	}
	key := base64.StdEncoding.EncodeToString([]byte("/cuminbay/duty/plan/" + centre))
	if err := callJSON(http.MethodPost, s.platform.address+"/v3/kv/range", map[string]string{"key": key}, &found); err != nil {
		return nil, err
	}
	for _, d := range s.daemons {
		if len(found.Kvs) == 1 && d.name == string(found.Kvs[0].Value) {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon holds the duty: %+v", found)
}

// TestPlannerKilled guards against a data centre whose broken replicas stay
// broken after the planner's daemon died (promises 1 and 2).
func TestPlannerKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{centres: []string{"a"}, daemons: 3, engines: 5, replicas: 2})
	first, err := s.planner("a")
	c.Assert(err, qt.IsNil)
	s.signal(first.process, syscall.SIGKILL)
	// The lease has to lapse first, the view of the daemons takes 3 s.
	s.await(leaseTTL+2*time.Second, "another daemon took the planner's duty over", func() error {
		next, err := s.planner("a")
		if err == nil && next == first {
			err = fmt.Errorf("%s still holds it", first.name)
		}
		return err
	})
	live := slices.DeleteFunc(slices.Clone(s.daemons), func(d *daemon) bool { return d == first })
	status, err := live[0].status()
	c.Assert(err, qt.IsNil)
	victim := status.Replicas[0].Members[1]
	s.signal(s.engines[string(victim)], syscall.SIGKILL)
	s.await(15*time.Second, "the replica is repaired", func() error { return s.checkWithout(victim, 2) })
	for _, d := range live {
		a := d.chat("repaired")
		c.Assert(a.checkWhole("repaired"), qt.IsNil)
	}
}
