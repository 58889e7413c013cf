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
	// eventWindow is the time for which reports repeat an event, so that every
	// daemon that reads the reports receives the event.
	eventWindow = 2 * time.Second
	// maxEvents bounds the events kept; the oldest are dropped first.
	maxEvents = 512
)

// cache simulates a prefix cache with least-recently-used eviction. It records
// an event for each block added or evicted, except for a random share of the
// events, which are lost.
type cache struct {
	capacity  int
	eventLag  time.Duration
	dropShare float64
	rand      *rand.Rand
	// recency lists the cached blocks, the most recently used first.
	recency *list.List
	blocks  map[work.PrefixHash]*list.Element
	events  []cacheEvent
}

// cacheEvent is an event with the time from which reports include it.
type cacheEvent struct {
	report.CacheEvent
	visibleAt time.Time
}

func newCache(o *Options) *cache {
	c := &cache{capacity: o.CacheBlocks, eventLag: o.EventLag, dropShare: o.EventDropShare, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	c.clear()
	return c
}

// clear empties the cache and discards its events, as a restart of the engine
// would.
func (c *cache) clear() {
	c.recency, c.blocks, c.events = list.New(), make(map[work.PrefixHash]*list.Element), nil
}

// accessBlocks marks the blocks of a prompt as used, adds the missing blocks and
// returns the length of the prefix, in blocks, that was cached before.
func (c *cache) accessBlocks(now time.Time, prefixHashes []work.PrefixHash) int {
	cached, contiguous := 0, true
	for _, h := range prefixHashes {
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

// visibleEvents returns the events that a report made now includes.
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

// loadHistory holds the past numbers of running and waiting requests, so that
// reports can show the load of a moment ago.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	at               time.Time
	running, waiting unit.Requests
}

func (l *loadHistory) recordLoad(now time.Time, running, waiting int) {
	l.laggedLoad(now)
	l.samples = append(l.samples, loadSample{now, unit.Requests(running), unit.Requests(waiting)})
}

// laggedLoad returns the load as of lag before now, and drops older samples.
func (l *loadHistory) laggedLoad(now time.Time) loadSample {
	cutoff := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(cutoff) {
		l.samples = l.samples[1:]
	}
	if len(l.samples) == 0 || l.samples[0].at.After(cutoff) {
		return loadSample{}
	}
	return l.samples[0]
}
