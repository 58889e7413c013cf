// Package member is the view of the daemons of all data centres and the
// distribution of duties over the live ones of the own data centre.
package member

import (
	"encoding/binary"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Peer is a daemon as others see it.
type Peer = roster.Peer

// DaemonInfo is what a daemon says of itself.
type DaemonInfo struct {
	Instance   ident.Instance   `json:"i"`
	DataCentre ident.DataCentre `json:"d"`
	Address    string           `json:"a"`
	Caller     string           `json:"c,omitempty"`
	Boot       unit.Incarnation `json:"b"`
	Leaving    bool             `json:"l,omitempty"`
	// Heartbeat counts heartbeats since the start.
	Heartbeat uint64 `json:"h"`
}

// Check reports what is wrong with an entry from a peer.
func (e *DaemonInfo) Check() error {
	if err := ident.CheckName(string(e.Instance)); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if err := ident.CheckName(string(e.DataCentre)); err != nil {
		return fmt.Errorf("data centre of %s: %w", e.Instance, err)
	}
	return nil
}

// key identifies everything in an entry but the heartbeat. Four bytes keep the
// digest of 60 daemons near 300 bytes; among 840 daemons two have the same key
// with a probability of 1 in 12,000.
type key uint32

func (e *DaemonInfo) key() key {
	var boot [9]byte
	binary.LittleEndian.PutUint64(boot[:], uint64(e.Boot))
	if e.Leaving {
		boot[8] = 1
	}
	h := xxhash.New()
	for _, s := range []string{string(e.Instance), string(e.DataCentre), e.Address, e.Caller} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(boot[:])
	return key(h.Sum64())
}

// known is an entry with the time of the last sign of life.
type known struct {
	DaemonInfo
	key   key
	heard time.Time
	// advanced is when the heartbeat last advanced; direct contact moves
	// heard alone.
	advanced time.Time
}

// Options are the parts of a View.
type Options struct {
	Self  DaemonInfo
	Clock clock.Clock
	// DeadAfter is the silence after which a daemon of the own data centre
	// counts as dead, FarDeadAfter one of another.
	DeadAfter    time.Duration
	FarDeadAfter time.Duration
	Seeds        []Seed
	// Roster returns the platform's list; it may be nil.
	Roster func() []roster.Instance
}

// View is the view of one daemon. Reads take no lock.
type View struct {
	options Options
	start   time.Time

	mu      sync.Mutex
	self    DaemonInfo
	selfKey key
	entries map[ident.Instance]*known
	byKey   map[key]*known
	// wants are keys of heartbeats whose entries this daemon lacks.
	wants  map[key]time.Time
	cursor int
	// tick is the last run of the loop; until unknownUntil the view is not
	// believed.
	tick         time.Time
	unknownUntil time.Time

	snapshot atomic.Pointer[snapshot]
}

// snapshot is what readers see.
type snapshot struct {
	tick         time.Time
	unknownUntil time.Time
	live         []ident.Instance
	hashes       []uint64
	peers        []Peer
	known        int
}

// beatInterval is the time between two heartbeats of a daemon. With 1 s and a
// fan-out of 3 the last of 60 daemons hears one after up to 2.8 s, and DeadAfter
// is 3 s.
const beatInterval = 500 * time.Millisecond

// New returns a view that knows the seeds, the roster and itself. The view is
// not believed until a daemon has been heard or DeadAfter has passed.
func New(o Options) *View {
	now := o.Clock.Now()
	v := &View{
		options: o, start: now, self: o.Self, tick: now, unknownUntil: now.Add(o.DeadAfter),
		entries: make(map[ident.Instance]*known), byKey: make(map[key]*known), wants: make(map[key]time.Time),
	}
	v.self.Heartbeat = 1
	v.publish(now)
	return v
}

// Tick is called several times per DeadAfter. A call that is late by more than
// DeadAfter means that the process was paused: what it knew is out of date,
// and it believes its view again only when it has heard somebody or after
// DeadAfter.
func (v *View) Tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	if now.Sub(v.tick) > v.options.DeadAfter {
		v.unknownUntil = now.Add(v.options.DeadAfter)
	}
	v.tick = now
	v.self.Heartbeat = 1 + uint64(now.Sub(v.start)/beatInterval)
	v.adopt()
	v.forget(now)
	v.publish(now)
}

// Times after which what is not heard of is dropped. The data centres of other
// regions may be out of reach for an hour.
const (
	forgetNear = 10 * time.Minute
	forgetFar  = 3 * time.Hour
	forgetWant = 5 * time.Second
)

func (v *View) forget(now time.Time) {
	for id, k := range v.entries {
		limit := forgetFar
		if k.DataCentre == v.self.DataCentre {
			limit = forgetNear
		}
		if now.Sub(k.heard) > limit {
			delete(v.entries, id)
			delete(v.byKey, k.key)
		}
	}
	for k, since := range v.wants {
		if now.Sub(since) > forgetWant {
			delete(v.wants, k)
		}
	}
}

// RecordContact records direct contact with a daemon.
func (v *View) RecordContact(id ident.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	k := v.entries[id]
	if k == nil {
		return
	}
	fresh := v.alive(k, now)
	k.heard = now
	believed := !now.Before(v.unknownUntil)
	if k.DataCentre == v.self.DataCentre {
		v.unknownUntil = time.Time{}
	}
	if !fresh || !believed {
		v.publish(now)
	}
}

// Leave announces that this daemon is about to end.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Leaving = true
	v.publish(v.options.Clock.Now())
}

// learn takes an entry from a peer. A later boot replaces an earlier one and
// the announcement of an end stays.
func (v *View) learn(e DaemonInfo, now time.Time) {
	if e.Instance == v.self.Instance {
		return
	}
	delete(v.wants, e.key())
	k := v.entries[e.Instance]
	switch {
	case k == nil || e.Boot > k.Boot:
		if k != nil {
			delete(v.byKey, k.key)
		}
		k = &known{DaemonInfo: e, key: e.key(), heard: now, advanced: now}
		v.entries[e.Instance] = k
		v.byKey[k.key] = k
	case e.Boot < k.Boot:
		return
	default:
		v.renew(k, e, now)
	}
	v.publish(now)
}

func (v *View) renew(k *known, e DaemonInfo, now time.Time) {
	if e.Leaving && !k.Leaving {
		delete(v.byKey, k.key)
		k.Leaving = true
		k.key = k.DaemonInfo.key()
		v.byKey[k.key] = k
	}
	if e.Heartbeat > k.Heartbeat {
		k.Heartbeat, k.heard, k.advanced = e.Heartbeat, now, now
	}
}

// alive reports whether the daemon was heard of within its limit.
func (v *View) alive(k *known, now time.Time) bool {
	return now.Sub(k.heard) < v.limit(k)
}

func (v *View) limit(k *known) time.Duration {
	if k.DataCentre == v.self.DataCentre {
		return v.options.DeadAfter
	}
	return v.options.FarDeadAfter
}

// publish replaces the snapshot. The caller holds the lock.
func (v *View) publish(now time.Time) {
	peers := v.configured()
	for id, k := range v.entries {
		p := peers[id]
		p.Instance, p.DataCentre, p.Address, p.CallerAddress = id, k.DataCentre, k.Address, k.Caller
		p.Alive = v.alive(k, now)
		p.Leaving = p.Leaving || k.Leaving
		peers[id] = p
	}
	s := &snapshot{tick: v.tick, unknownUntil: v.unknownUntil, known: 1}
	self := peers[v.self.Instance]
	if !v.self.Leaving && !self.Leaving {
		s.live = append(s.live, v.self.Instance)
	}
	inRoster := v.daemonsOfRoster()
	v.selfKey = v.self.key()
	for id, p := range peers {
		if id == v.self.Instance {
			continue
		}
		s.peers = append(s.peers, p)
		if p.DataCentre != v.self.DataCentre {
			continue
		}
		if p.Alive || inRoster[id] {
			s.known++
		}
		if p.Alive && !p.Leaving {
			s.live = append(s.live, id)
		}
	}
	sort.Slice(s.peers, func(i, j int) bool { return s.peers[i].Instance < s.peers[j].Instance })
	sort.Slice(s.live, func(i, j int) bool { return s.live[i] < s.live[j] })
	for _, id := range s.live {
		s.hashes = append(s.hashes, xxhash.Sum64String(string(id)))
	}
	v.snapshot.Store(s)
}

// configured returns the peers that seeds and roster name. The roster wins,
// since it is newer than the settings.
func (v *View) configured() map[ident.Instance]Peer {
	peers := make(map[ident.Instance]Peer)
	for _, s := range v.options.Seeds {
		peers[s.Instance] = Peer{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.Address}
	}
	for _, i := range v.roster() {
		if i.Role == roster.Daemon {
			peers[i.ID] = Peer{
				Instance: i.ID, DataCentre: i.DataCentre, Address: i.Address, CallerAddress: i.CallerAddress,
				Leaving: i.State == roster.Leaving,
			}
		}
	}
	return peers
}

func (v *View) roster() []roster.Instance {
	if v.options.Roster == nil {
		return nil
	}
	return v.options.Roster()
}

func (v *View) daemonsOfRoster() map[ident.Instance]bool {
	daemons := make(map[ident.Instance]bool)
	for _, i := range v.roster() {
		if i.Role == roster.Daemon && i.DataCentre == v.self.DataCentre {
			daemons[i.ID] = true
		}
	}
	return daemons
}
