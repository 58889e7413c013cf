package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

const (
	// eventWindow is how long each report repeats an event, so that several
	// readers of the reports see it.
	eventWindow = 2 * time.Second
	// maxEvents bounds the events kept; the oldest are lost first.
	maxEvents = 512
)

// cache is a prefix cache that forgets the block used longest ago, and the
// events about it.
type cache struct {
	size   int
	lag    time.Duration
	drop   float64
	rand   *rand.Rand
	order  *list.List
	blocks map[work.PrefixHash]*list.Element
	events []cacheEvent
}

type cacheEvent struct {
	report.CacheEvent
	at time.Time
}

func newCache(o *Options) *cache {
	c := &cache{size: o.CacheBlocks, lag: o.EventLag, drop: o.EventDrop, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	c.clear()
	return c
}

// clear empties the cache without events, as a restart does.
func (c *cache) clear() {
	c.order, c.blocks, c.events = list.New(), make(map[work.PrefixHash]*list.Element), nil
}

// use adds the blocks of a prompt and returns how many of its first ones were
// cached before.
func (c *cache) use(now time.Time, prefix []work.PrefixHash) int {
	cached, whole := 0, true
	for _, h := range prefix {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			if whole {
				cached++
			}
			continue
		}
		whole = false
		c.blocks[h] = c.order.PushFront(h)
		c.note(now, report.CacheEvent{Prefix: h})
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		h := c.order.Remove(oldest).(work.PrefixHash)
		delete(c.blocks, h)
		c.note(now, report.CacheEvent{Prefix: h, Evicted: true})
	}
	return cached
}

func (c *cache) note(now time.Time, e report.CacheEvent) {
	if c.rand.Float64() < c.drop {
		return
	}
	c.events = append(c.events, cacheEvent{CacheEvent: e, at: now.Add(c.lag)})
	if over := len(c.events) - maxEvents; over > 0 {
		c.events = c.events[over:]
	}
}

// shown returns the events that a report has now.
func (c *cache) shown(now time.Time) []report.CacheEvent {
	for len(c.events) > 0 && c.events[0].at.Add(eventWindow).Before(now) {
		c.events = c.events[1:]
	}
	var shown []report.CacheEvent
	for _, e := range c.events {
		if !e.at.After(now) {
			shown = append(shown, e.CacheEvent)
		}
	}
	return shown
}

// load is the record of how many requests ran and waited, for reports that
// lag behind.
type load struct {
	lag     time.Duration
	samples []sample
}

type sample struct {
	at               time.Time
	running, waiting unit.Requests
}

func (l *load) note(now time.Time, running, waiting int) {
	l.shown(now)
	l.samples = append(l.samples, sample{now, unit.Requests(running), unit.Requests(waiting)})
}

// shown returns the load as it was before the lag.
func (l *load) shown(now time.Time) sample {
	limit := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(limit) {
		l.samples = l.samples[1:]
	}
	if len(l.samples) == 0 || l.samples[0].at.After(limit) {
		return sample{}
	}
	return l.samples[0]
}
