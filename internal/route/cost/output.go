package cost

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Bounds of the learned distributions. Each cell takes 800 bytes, so the table takes at most 200 kB.
const (
	// outputCells is the number of cells, a power of two, and cellProbes the number of
	// places in which a cell may be.
	outputCells = 256
	cellProbes  = 8
	// outputHalfLife is the time after which an observation counts half.
	outputHalfLife = time.Minute
	// priorWeight is the number of observations that the estimate without observations counts
	// for.
	priorWeight = 4
	// highFactor is the assumed ratio of the 90th percentile to the mean before there are
	// observations. It is that of an exponential distribution.
	highFactor = 2.3
	// firstOctave is the exponent of the lowest recorded value. With a hint, values are ratios
	// to it, and may be far below one.
	firstOctave      = -8
	octaveCount      = 24
	bucketsPerOctave = 4
	bucketCount      = octaveCount * bucketsPerOctave
)

// outputKey identifies the requests whose outputs have one distribution: those of a route with a hint,
// or else a bound, of one power of two.
type outputKey struct {
	route    string
	hasHint  bool
	exponent int
}

func outputKeyOf(p Profile) outputKey {
	if p.LengthHint > 0 {
		return outputKey{p.Route, true, bits.Len64(uint64(p.LengthHint))}
	}
	return outputKey{p.Route, false, bits.Len64(uint64(max(p.MaxOutputTokens, 0)))}
}

func (k outputKey) hash() uint64 {
	h := xxhash.Sum64String(k.route) + uint64(k.exponent)*0x9e3779b97f4a7c15
	if k.hasHint {
		h = ^h
	}
	return h ^ h>>29
}

// unitOf returns the number of tokens in which outputs are recorded. A hint is right at the median
// within its power of two, so outputs are recorded in relation to it.
func unitOf(p Profile) float64 {
	return float64(max(p.LengthHint, 1))
}

// outputs are the mean, the median and the 90th percentile of a distribution of output tokens, and
// the number of observations that they rest on.
type outputs struct {
	mean, median, high, weight float64
}

// outputTable has the distribution of each key. When it is full, a new key replaces the one
// without observations for longest.
type outputTable struct {
	cells [outputCells]atomic.Pointer[outputCell]
	// mu guards the replacement of cells.
	mu sync.Mutex
}

// outputCell is the distribution of a key.
type outputCell struct {
	key outputKey
	// recordedAt is the time of the last observation as a clock.Instant.
	recordedAt atomic.Int64
	summary    atomic.Pointer[outputs]

	mu      sync.Mutex
	weights [bucketCount]float64
	total   float64
	sum     float64
}

// predict returns the distribution of the outputs of requests like this one, given the expected
// number of tokens without observations.
func (t *outputTable) predict(p Profile, expected unit.Tokens) outputs {
	prior := float64(expected)
	o := outputs{mean: prior, median: prior, high: prior * highFactor}
	if cell := t.find(outputKeyOf(p)); cell != nil {
		learned, scale := cell.summary.Load(), unitOf(p)
		share := learned.weight / (learned.weight + priorWeight)
		if expected <= 0 {
			share = 1
		}
		o.mean += share * (learned.mean*scale - o.mean)
		o.median += share * (learned.median*scale - o.median)
		o.high += share * (learned.high*scale - o.high)
	}
	if limit := float64(p.MaxOutputTokens); limit > 0 {
		o.mean, o.median, o.high = min(o.mean, limit), min(o.median, limit), min(o.high, limit)
	}
	return o
}

// find returns the cell of the key, nil if there is none.
func (t *outputTable) find(key outputKey) *outputCell {
	hash := key.hash()
	for i := range uint64(cellProbes) {
		cell := t.cells[(hash+i)%outputCells].Load()
		if cell == nil {
			return nil
		}
		if cell.key == key {
			return cell
		}
	}
	return nil
}

// record adds an observation.
func (t *outputTable) record(now time.Time, p Profile, output unit.Tokens) {
	key, value := outputKeyOf(p), float64(output)/unitOf(p)
	cell := t.find(key)
	if cell == nil {
		t.insert(key, now, value)
		return
	}
	cell.record(now, value)
}

// insert adds a cell with its first observation, in place of the oldest one if there is no room.
func (t *outputTable) insert(key outputKey, now time.Time, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cell := t.find(key); cell != nil {
		cell.record(now, value)
		return
	}
	cell := &outputCell{key: key}
	cell.record(now, value)
	hash := key.hash()
	place, oldest := &t.cells[hash%outputCells], int64(math.MaxInt64)
	for i := range uint64(cellProbes) {
		candidate := &t.cells[(hash+i)%outputCells]
		current := candidate.Load()
		if current == nil {
			place = candidate
			break
		}
		if at := current.recordedAt.Load(); at < oldest {
			place, oldest = candidate, at
		}
	}
	place.Store(cell)
}

// record adds an observation after decaying the earlier ones.
func (c *outputCell) record(now time.Time, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := int64(clock.InstantOf(now))
	if age := at - c.recordedAt.Load(); age > 0 && c.total > 0 {
		decay := math.Exp2(-float64(age) / float64(outputHalfLife))
		for i := range c.weights {
			c.weights[i] *= decay
		}
		c.total *= decay
		c.sum *= decay
	}
	c.recordedAt.Store(at)
	c.weights[bucketOf(value)]++
	c.total++
	c.sum += value
	c.summary.Store(&outputs{mean: c.sum / c.total, median: c.quantile(0.5), high: c.quantile(0.9), weight: c.total})
}

// quantile returns the value below which the share of the observations lies. The caller holds the
// lock.
func (c *outputCell) quantile(share float64) float64 {
	below := 0.0
	for i, weight := range c.weights {
		if below+weight >= share*c.total && weight > 0 {
			within := (share*c.total - below) / weight
			return math.Exp2((float64(i)+within)/bucketsPerOctave + firstOctave)
		}
		below += weight
	}
	return c.sum / c.total
}

func bucketOf(value float64) int {
	bucket := int((math.Log2(value) - firstOctave) * bucketsPerOctave)
	return min(max(bucket, 0), bucketCount-1)
}
