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
	capacity  int
	eventLag  time.Duration
	dropShare float64
	rand      *rand.Rand
	recency   *list.List
	blocks    map[work.PrefixHash]*list.Element
	events    []cacheEvent
}

type cacheEvent struct {
	report.CacheEvent
	visibleAt time.Time
}

func newCache(o *Options) *cache {
	c := &cache{capacity: o.CacheBlocks, eventLag: o.EventLag, dropShare: o.EventDropShare, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	c.clear()
	return c
}

// clear empties the cache without events, as a restart does.
func (c *cache) clear() {
	c.recency, c.blocks, c.events = list.New(), make(map[work.PrefixHash]*list.Element), nil
}

// access adds the blocks of a prompt and returns how many of its first ones were
// cached before.
func (c *cache) access(now time.Time, prefix []work.PrefixHash) int {
	cached, contiguous := 0, true
	for _, h := range prefix {
		if e, ok := c.blocks[h]; ok {
			c.recency.MoveToFront(e)
			if contiguous {
				cached++
			}
			continue
		}
		contiguous = false
		c.blocks[h] = c.recency.PushFront(h)
		c.addEvent(now, report.CacheEvent{Prefix: h})
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		h := c.recency.Remove(oldest).(work.PrefixHash)
		delete(c.blocks, h)
		c.addEvent(now, report.CacheEvent{Prefix: h, Evicted: true})
	}
	return cached
}

func (c *cache) addEvent(now time.Time, e report.CacheEvent) {
	if c.rand.Float64() < c.dropShare {
		return
	}
	c.events = append(c.events, cacheEvent{CacheEvent: e, visibleAt: now.Add(c.eventLag)})
	if excess := len(c.events) - maxEvents; excess > 0 {
		c.events = c.events[excess:]
	}
}

// visibleEvents returns the events that a report has now.
func (c *cache) visibleEvents(now time.Time) []report.CacheEvent {
	for len(c.events) > 0 && c.events[0].visibleAt.Add(eventWindow).Before(now) {
		c.events = c.events[1:]
	}
	var visible []report.CacheEvent
	for _, e := range c.events {
		if !e.visibleAt.After(now) {
			visible = append(visible, e.CacheEvent)
		}
	}
	return visible
}

// loadHistory is the record of how many requests ran and waited, for reports that
// lag behind.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at               time.Time
	running, waiting unit.Requests
}

func (l *loadHistory) record(now time.Time, running, waiting int) {
	l.lagged(now)
	l.samples = append(l.samples, loadSample{now, unit.Requests(running), unit.Requests(waiting)})
}

// lagged returns the load as it was before the lag.
func (l *loadHistory) lagged(now time.Time) loadSample {
	cutoff := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(cutoff) {
		l.samples = l.samples[1:]
	}
	if len(l.samples) == 0 || l.samples[0].at.After(cutoff) {
		return loadSample{}
	}
	return l.samples[0]
}
