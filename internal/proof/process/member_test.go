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

// chatLoad sends chats concurrently and checks their answers.
type chatLoad struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// failures holds an error for each wrong answer. completeCount is the number
	// of complete answers.
	failures      []error
	completeCount int
}

// sendChats sends n chats concurrently, to the daemons in turn.
func (l *chatLoad) sendChats(n int, name string, daemons ...*daemon) {
	for i := range n {
		l.group.Go(func() { l.sendChat(fmt.Sprintf("%s %d", name, i), daemons[i%len(daemons)]) })
	}
}

func (l *chatLoad) sendChat(prompt string, d *daemon) {
	a := d.chat(prompt)
	err := a.checkCompleteOrCode(prompt)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures = append(l.failures, fmt.Errorf("%s: %w", d.name, err))
	}
	if a.complete {
		l.completeCount++
	}
}

// sendChatsUntil sends one chat after another to the daemon until stop is closed.
func (l *chatLoad) sendChatsUntil(d *daemon, stop <-chan struct{}) {
	l.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				l.sendChat(fmt.Sprintf("load %d", n), d)
			}
		}
	})
}

// checkAnswers waits for all answers and fails the test if one is wrong.
func (l *chatLoad) checkAnswers(c *qt.C) {
	l.group.Wait()
	c.Assert(l.failures, qt.HasLen, 0, qt.Commentf("answers that are neither complete nor end with a result code"))
}

// awaitInFlight waits until the daemons have at least n requests in flight.
func (s *cluster) awaitInFlight(n unit.Requests, daemons ...*daemon) {
	s.t.Helper()
	s.await(5*time.Second, "the requests are in flight", func() error {
		var sum unit.Requests
		for _, d := range daemons {
			status, err := d.fetchStatus()
			if err != nil {
				return err
			}
			sum += status.InFlight
		}
		if sum < n {
			return fmt.Errorf("%d requests in flight, want %d", sum, n)
		}
		return nil
	})
}

// checkReplicasWithout returns an error if a running daemon routes to a replica that
// contains the instance, or to fewer replicas than minReplicas.
func (s *cluster) checkReplicasWithout(victim ident.Instance, minReplicas int) error {
	for _, d := range s.daemons {
		if !d.running() {
			continue
		}
		served, err := d.servedReplicas()
		if err != nil {
			return err
		}
		for replica, members := range served {
			if slices.Contains(members, victim) {
				return fmt.Errorf("%s routes to replica %s with the members %v", d.name, replica, members)
			}
		}
		if len(served) < minReplicas {
			return fmt.Errorf("%s routes to %d replicas, want at least %d", d.name, len(served), minReplicas)
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

// checkAgreement compares the states that daemons attest with the reports of the
// engines. It returns an error if two engines report the same rank of a replica, if an
// engine is in two serving replicas, or if a member of a serving replica reports another
// replica, epoch or rank.
func (s *cluster) checkAgreement() error {
	reports := make(map[ident.Instance]*report.Report)
	instanceByRank := make(map[string]ident.Instance)
	for name := range s.engines {
		r, err := s.fetchEngineReport(instanceID(name))
		if err != nil {
			return err
		}
		reports[instanceID(name)] = r
		if r.Replica == "" {
			continue
		}
		position := fmt.Sprintf("rank %d of %s", r.Rank, r.Replica)
		if other, duplicate := instanceByRank[position]; duplicate {
			return fmt.Errorf("%s and %s both report %s", other, name, position)
		}
		instanceByRank[position] = instanceID(name)
	}
	for _, d := range s.daemons {
		status, err := d.fetchStatus()
		if err != nil {
			return err
		}
		replicaOf := make(map[ident.Instance]ident.Replica)
		for _, r := range status.Replicas {
			for rank, m := range r.Members {
				reported := reports[m]
				if r.Serving && (reported.Replica != r.Replica || reported.Epoch != r.Epoch || int(reported.Rank) != rank) {
					return fmt.Errorf("%s: member %s of %s epoch %d reports %+v", d.name, m, r.Replica, r.Epoch, reported.Membership)
				}
				if other, duplicate := replicaOf[m]; duplicate && r.Serving {
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

// TestMemberFails guards against a replica that serves without all of its members
// (promise 1), an instance in two replicas (promise 2), and answers that are cut
// off without an error or mixed up (promise 5). An engine is killed or paused while
// requests are in flight.
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
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, engines: 2*replicas + 1, replicas: replicas})
			status, err := s.daemons[0].fetchStatus()
			c.Assert(err, qt.IsNil)
			victim := status.Replicas[0].Members[test.rank]
			var chats chatLoad
			stop := make(chan struct{})
			chats.sendChats(12, name, s.daemons...)
			for _, d := range s.daemons {
				chats.sendChatsUntil(d, stop)
			}
			s.awaitInFlight(12, s.daemons...)
			s.signal(s.engines[string(victim)], test.signal)
			s.await(5*time.Second, "no daemon routes to the broken replica", func() error { return s.checkReplicasWithout(victim, 0) })
			s.await(15*time.Second, "the replica is repaired with the spare server", func() error {
				if err := s.checkReplicasWithout(victim, 0); err != nil {
					s.t.Fatalf("the broken replica is routed to again: %v", err)
				}
				return s.checkReplicasWithout(victim, replicas)
			})
			close(stop)
			chats.checkAnswers(c)
			c.Assert(chats.completeCount > 0, qt.IsTrue)
			if test.signal == syscall.SIGSTOP {
				s.signal(s.engines[string(victim)], syscall.SIGCONT)
				s.await(5*time.Second, "the daemons agree with the engines' reports", s.checkAgreement)
				s.requireThroughout(2*time.Second, "the daemons agree with the engines' reports", s.checkAgreement)
			}
			for _, d := range s.daemons {
				a := d.chat("afterwards")
				c.Assert(a.checkComplete("afterwards"), qt.IsNil)
			}
		})
	}
}

// plannerLeader returns the daemon that holds the planner's lease of a data centre
// according to the platform.
func (s *cluster) plannerLeader(dataCentre string) (*daemon, error) {
	var response struct {
		Kvs []struct{ Value []byte }
	}
	key := base64.StdEncoding.EncodeToString([]byte("/cuminbay/duty/plan/" + dataCentre))
	if err := callJSON(http.MethodPost, s.platform.address+"/v3/kv/range", map[string]string{"key": key}, &response); err != nil {
		return nil, err
	}
	for _, d := range s.daemons {
		if len(response.Kvs) == 1 && d.name == string(response.Kvs[0].Value) {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon holds the planner's lease: %+v", response)
}

// TestPlannerKilled guards against replicas that are not repaired after the daemon
// that held the planner's lease was killed (promises 1 and 2).
func TestPlannerKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 3, engines: 5, replicas: 2})
	leader, err := s.plannerLeader("a")
	c.Assert(err, qt.IsNil)
	s.signal(leader.process, syscall.SIGKILL)
	// The lease has to expire first. The other daemons detect the failure of the
	// daemon after 3 s.
	s.await(leaseTTL+2*time.Second, "another daemon acquires the planner's lease", func() error {
		current, err := s.plannerLeader("a")
		if err == nil && current == leader {
			err = fmt.Errorf("%s still holds the lease", leader.name)
		}
		return err
	})
	others := slices.DeleteFunc(slices.Clone(s.daemons), func(d *daemon) bool { return d == leader })
	status, err := others[0].fetchStatus()
	c.Assert(err, qt.IsNil)
	victim := status.Replicas[0].Members[1]
	s.signal(s.engines[string(victim)], syscall.SIGKILL)
	s.await(15*time.Second, "the replica is repaired", func() error { return s.checkReplicasWithout(victim, 2) })
	for _, d := range others {
		a := d.chat("repaired")
		c.Assert(a.checkComplete("repaired"), qt.IsNil)
	}
}
