package admit_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
)

// queueTest has a queue for a number of equal slots.
type queueTest struct {
	queue  *admit.Queue
	shares *admit.Shares
	ctx    context.Context
	free   int
	served []string
	mu     sync.Mutex
	failed []string
}

// join has a request wait, and returns when it waits or is served.
func (q *queueTest) join(name string, r admit.WaitRequest) {
	r.Key, r.Organisation = "m", "o"
	r.Admission, _ = q.shares.Admit(&record.Organisation{Name: "o", Weight: 1}, 1<<20)
	if r.Limit == nil {
		r.Limit = func(admit.Class) float64 { return 1 }
	}
	go func() {
		if !q.queue.Wait(q.ctx, r, func(admit.Turn) bool {
			if q.free == 0 {
				return false
			}
			q.free--
			q.served = append(q.served, name)
			return true
		}) {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.failed = append(q.failed, name)
		}
	}()
	synctest.Wait()
}

// release frees slots one by one.
func (q *queueTest) release(slots int) {
	for range slots {
		q.free++
		q.queue.Wake("m")
		synctest.Wait()
	}
}

// runQueueTest calls the test with an empty queue without free slots. The queue checks for slots only
// when it is woken.
func runQueueTest(t *testing.T, limit int, test func(*qt.C, *queueTest, time.Time)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clk := clock.Real()
		q := &queueTest{queue: admit.NewQueue(admit.QueueOptions{Clock: clk, Limit: limit, RecheckInterval: time.Hour}), shares: admit.NewShares(), ctx: ctx}
		test(qt.New(t), q, clk.Now())
		cancel()
		synctest.Wait()
		qt.Check(t, q.queue.Length(), qt.Equals, 0)
	})
}

// TestQueueClasses guards against late requests that go before others, against a late one that goes
// before an older one, and against an interrupted stream that waits for any other request.
func TestQueueClasses(t *testing.T) {
	runQueueTest(t, 10, func(c *qt.C, q *queueTest, now time.Time) {
		wait := func(r admit.WaitRequest) admit.WaitRequest {
			r.Received, r.Deadline = now, now.Add(time.Minute)
			return r
		}
		q.join("late", wait(admit.WaitRequest{Class: admit.Late, Priority: 9, FirstSent: now.Add(-time.Second)}))
		q.join("oldest late", wait(admit.WaitRequest{Class: admit.Late, FirstSent: now.Add(-2 * time.Second)}))
		q.join("lower rank", wait(admit.WaitRequest{Priority: -1}))
		q.join("urgent, becomes late", wait(admit.WaitRequest{Priority: 3, LatestStart: now.Add(time.Second), FirstSent: now}))
		q.join("urgent", wait(admit.WaitRequest{Priority: 2}))
		q.join("interrupted", wait(admit.WaitRequest{Class: admit.Resumed, Priority: -2}))
		clock.Real().Sleep(2 * time.Second)
		q.release(6)
		c.Check(q.served, qt.DeepEquals, []string{"interrupted", "urgent", "lower rank", "oldest late", "late", "urgent, becomes late"})
	})
}

// TestLeastShare guards against a priority or size that gets no slot as long as others wait, and against
// one that gets more than its least share for that.
func TestLeastShare(t *testing.T) {
	tests := map[string]admit.WaitRequest{
		"rank": {Priority: -1},
		"size": {Priority: 0, Class: admit.Late, Tokens: 5000},
	}
	for name, starved := range tests {
		t.Run(name, func(t *testing.T) {
			runQueueTest(t, 400, func(c *qt.C, q *queueTest, now time.Time) {
				starved.Received, starved.Deadline = now, now.Add(time.Minute)
				for range 10 {
					q.join("starved", starved)
				}
				const grants = 100
				for i := range grants + 5 {
					q.join(strconv.Itoa(i), admit.WaitRequest{Received: now, Deadline: now.Add(time.Minute)})
				}
				q.release(grants)
				got := 0
				for _, name := range q.served {
					if name == "starved" {
						got++
					}
				}
				c.Check(got >= grants/25 && got <= grants/20, qt.IsTrue, qt.Commentf("%d of %d", got, grants))
			})
		})
	}
}

// TestFullQueue guards against a full queue of late requests that keeps out one that can meet its
// objective, against a request that loses its place although it may have run, and against an explanation
// that expects another place in the queue.
func TestFullQueue(t *testing.T) {
	runQueueTest(t, 4, func(c *qt.C, q *queueTest, now time.Time) {
		deadline := now.Add(time.Minute)
		q.join("interrupted", admit.WaitRequest{Class: admit.Resumed, Deadline: deadline})
		q.join("may have run", admit.WaitRequest{Class: admit.Late, FirstSent: now.Add(time.Second), Deadline: deadline})
		q.join("older", admit.WaitRequest{Class: admit.Late, FirstSent: now.Add(-2 * time.Second), Deadline: deadline, Displaceable: true})
		hasRoom := func(r admit.WaitRequest) bool {
			r.Key, r.Admission = "m", q.shares.Preview(&record.Organisation{Name: "o", Weight: 1})
			return q.queue.HasRoom(&r)
		}
		c.Check(hasRoom(admit.WaitRequest{Class: admit.Late, FirstSent: now}), qt.IsTrue)
		q.join("newer", admit.WaitRequest{Class: admit.Late, FirstSent: now.Add(-time.Second), Deadline: deadline, Displaceable: true})
		c.Check(hasRoom(admit.WaitRequest{Class: admit.Late, FirstSent: now}), qt.IsFalse)
		c.Check(hasRoom(admit.WaitRequest{}), qt.IsTrue)
		q.join("last", admit.WaitRequest{Class: admit.Late, FirstSent: now, Deadline: deadline, Displaceable: true})
		c.Check(q.failed, qt.DeepEquals, []string{"last"})
		q.join("on time", admit.WaitRequest{Deadline: deadline, Displaceable: true})
		c.Check(q.failed, qt.DeepEquals, []string{"last", "newer"})
		q.release(4)
		c.Check(q.served, qt.DeepEquals, []string{"interrupted", "on time", "older", "may have run"})
	})
}

// TestQueueWithoutSlots guards against a small request that takes a slot before a large one that waits,
// and against waits beyond their end.
func TestQueueWithoutSlots(t *testing.T) {
	runQueueTest(t, 400, func(c *qt.C, q *queueTest, now time.Time) {
		q.join("large", admit.WaitRequest{Received: now, Deadline: now.Add(time.Second), Tokens: 5000})
		q.free = 1
		q.join("small", admit.WaitRequest{Received: now.Add(time.Millisecond), Deadline: now.Add(time.Second), Tokens: 50})
		c.Check(q.served, qt.DeepEquals, []string{"large"})
		clock.Real().Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(q.failed, qt.DeepEquals, []string{"small"})
	})
}

// TestStandingOfPreview guards against an explained request whose place in the queue differs from that of a
// real one: requests of one organisation go by the time received.
func TestStandingOfPreview(t *testing.T) {
	runQueueTest(t, 10, func(c *qt.C, q *queueTest, now time.Time) {
		q.join("waiting", admit.WaitRequest{Received: now, Deadline: now.Add(time.Minute)})
		for received, want := range map[time.Time]unit.Requests{now.Add(-time.Millisecond): 0, now.Add(time.Millisecond): 1} {
			r := admit.WaitRequest{Key: "m", Received: received, Admission: q.shares.Preview(&record.Organisation{Name: "o", Weight: 1})}
			c.Check(q.queue.Standing(&r).AheadOnTime, qt.Equals, want)
		}
	})
}

// BenchmarkQueue measures the offer of slots to 500 waiting requests that find none, which a daemon
// makes up to 80 times a second.
func BenchmarkQueue(b *testing.B) {
	q := admit.NewQueue(admit.QueueOptions{Clock: clock.Real(), Limit: 500, RecheckInterval: time.Hour})
	shares := admit.NewShares()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	now := clock.Real().Now()
	for i := range 500 {
		admission, _ := shares.Admit(&record.Organisation{Name: "o", Weight: 1}, 1<<20)
		go q.Wait(ctx, admit.WaitRequest{
			Key: "m", Received: now.Add(time.Duration(i)), Deadline: now.Add(time.Hour), Admission: admission, Tokens: 100, Limit: func(admit.Class) float64 { return 1 },
		}, func(admit.Turn) bool { return false })
	}
	for q.Length() < 500 {
		clock.Real().Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Wake("m")
	}
}
