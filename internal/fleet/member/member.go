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

// infoHash identifies everything in an entry but the heartbeat. Four bytes keep the
// digest of 60 daemons near 300 bytes; among 840 daemons two have the same key
// with a probability of 1 in 12,000.
type infoHash uint32

func (e *DaemonInfo) hash() infoHash {
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
	return infoHash(h.Sum64())
}

// peerState is an entry with the time of the last sign of life.
type peerState struct {
	DaemonInfo
	hash      infoHash
	lastHeard time.Time
	// lastHeartbeat is when the heartbeat last advanced; direct contact moves
	// heard alone.
	lastHeartbeat time.Time
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

	mu       sync.Mutex
	self     DaemonInfo
	selfHash infoHash
	peers    map[ident.Instance]*peerState
	byHash   map[infoHash]*peerState
	// missing are keys of heartbeats whose entries this daemon lacks.
	missing      map[infoHash]time.Time
	remoteCursor int
	// lastTick is the last run of the loop; until unknownUntil the view is not
	// believed.
	lastTick       time.Time
	untrustedUntil time.Time

	snapshot atomic.Pointer[snapshot]
}

// snapshot is what readers see.
type snapshot struct {
	lastTick       time.Time
	untrustedUntil time.Time
	live           []ident.Instance
	liveHashes     []uint64
	peers          []Peer
	knownDaemons   int
}

// heartbeatInterval is the time between two heartbeats of a daemon. With 1 s and a
// fan-out of 3 the last of 60 daemons hears one after up to 2.8 s, and DeadAfter
// is 3 s.
const heartbeatInterval = 500 * time.Millisecond

// New returns a view that knows the seeds, the roster and itself. The view is
// not believed until a daemon has been heard or DeadAfter has passed.
func New(o Options) *View {
	now := o.Clock.Now()
	v := &View{
		options: o, start: now, self: o.Self, lastTick: now, untrustedUntil: now.Add(o.DeadAfter),
		peers: make(map[ident.Instance]*peerState), byHash: make(map[infoHash]*peerState), missing: make(map[infoHash]time.Time),
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
	if now.Sub(v.lastTick) > v.options.DeadAfter {
		v.untrustedUntil = now.Add(v.options.DeadAfter)
	}
	v.lastTick = now
	v.self.Heartbeat = 1 + uint64(now.Sub(v.start)/heartbeatInterval)
	v.adoptRosterAddresses()
	v.removeExpired(now)
	v.publish(now)
}

// Times after which what is not heard of is dropped. The data centres of other
// regions may be out of reach for an hour.
const (
	localRetention   = 10 * time.Minute
	remoteRetention  = 3 * time.Hour
	missingRetention = 5 * time.Second
)

func (v *View) removeExpired(now time.Time) {
	for id, k := range v.peers {
		retention := remoteRetention
		if k.DataCentre == v.self.DataCentre {
			retention = localRetention
		}
		if now.Sub(k.lastHeard) > retention {
			delete(v.peers, id)
			delete(v.byHash, k.hash)
		}
	}
	for k, since := range v.missing {
		if now.Sub(since) > missingRetention {
			delete(v.missing, k)
		}
	}
}

// RecordContact records direct contact with a daemon.
func (v *View) RecordContact(id ident.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	p := v.peers[id]
	if p == nil {
		return
	}
	wasAlive := v.alive(p, now)
	p.lastHeard = now
	wasTrusted := !now.Before(v.untrustedUntil)
	if p.DataCentre == v.self.DataCentre {
		v.untrustedUntil = time.Time{}
	}
	if !wasAlive || !wasTrusted {
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

// mergeInfo takes an entry from a peer. A later boot replaces an earlier one and
// the announcement of an end stays.
func (v *View) mergeInfo(info DaemonInfo, now time.Time) {
	if info.Instance == v.self.Instance {
		return
	}
	delete(v.missing, info.hash())
	p := v.peers[info.Instance]
	switch {
	case p == nil || info.Boot > p.Boot:
		if p != nil {
			delete(v.byHash, p.hash)
		}
		p = &peerState{DaemonInfo: info, hash: info.hash(), lastHeard: now, lastHeartbeat: now}
		v.peers[info.Instance] = p
		v.byHash[p.hash] = p
	case info.Boot < p.Boot:
		return
	default:
		v.updatePeer(p, info, now)
	}
	v.publish(now)
}

func (v *View) updatePeer(p *peerState, info DaemonInfo, now time.Time) {
	if info.Leaving && !p.Leaving {
		delete(v.byHash, p.hash)
		p.Leaving = true
		p.hash = p.DaemonInfo.hash()
		v.byHash[p.hash] = p
	}
	if info.Heartbeat > p.Heartbeat {
		p.Heartbeat, p.lastHeard, p.lastHeartbeat = info.Heartbeat, now, now
	}
}

// alive reports whether the daemon was heard of within its limit.
func (v *View) alive(p *peerState, now time.Time) bool {
	return now.Sub(p.lastHeard) < v.deadAfter(p)
}

func (v *View) deadAfter(p *peerState) time.Duration {
	if p.DataCentre == v.self.DataCentre {
		return v.options.DeadAfter
	}
	return v.options.FarDeadAfter
}

// publish replaces the snapshot. The caller holds the lock.
func (v *View) publish(now time.Time) {
	peers := v.configuredPeers()
	for id, known := range v.peers {
		p := peers[id]
		p.Instance, p.DataCentre, p.Address, p.CallerAddress = id, known.DataCentre, known.Address, known.Caller
		p.Alive = v.alive(known, now)
		p.Leaving = p.Leaving || known.Leaving
		peers[id] = p
	}
	s := &snapshot{lastTick: v.lastTick, untrustedUntil: v.untrustedUntil, knownDaemons: 1}
	self := peers[v.self.Instance]
	if !v.self.Leaving && !self.Leaving {
		s.live = append(s.live, v.self.Instance)
	}
	listed := v.rosterDaemons()
	v.selfHash = v.self.hash()
	for id, p := range peers {
		if id == v.self.Instance {
			continue
		}
		s.peers = append(s.peers, p)
		if p.DataCentre != v.self.DataCentre {
			continue
		}
		if p.Alive || listed[id] {
			s.knownDaemons++
		}
		if p.Alive && !p.Leaving {
			s.live = append(s.live, id)
		}
	}
	sort.Slice(s.peers, func(i, j int) bool { return s.peers[i].Instance < s.peers[j].Instance })
	sort.Slice(s.live, func(i, j int) bool { return s.live[i] < s.live[j] })
	for _, id := range s.live {
		s.liveHashes = append(s.liveHashes, xxhash.Sum64String(string(id)))
	}
	v.snapshot.Store(s)
}

// configuredPeers returns the peers that seeds and roster name. The roster wins,
// since it is newer than the settings.
func (v *View) configuredPeers() map[ident.Instance]Peer {
	peers := make(map[ident.Instance]Peer)
	for _, s := range v.options.Seeds {
		peers[s.Instance] = Peer{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.Address}
	}
	for _, i := range v.rosterInstances() {
		if i.Role == roster.Daemon {
			peers[i.ID] = Peer{
				Instance: i.ID, DataCentre: i.DataCentre, Address: i.Address, CallerAddress: i.CallerAddress,
				Leaving: i.State == roster.Leaving,
			}
		}
	}
	return peers
}

func (v *View) rosterInstances() []roster.Instance {
	if v.options.Roster == nil {
		return nil
	}
	return v.options.Roster()
}

func (v *View) rosterDaemons() map[ident.Instance]bool {
	daemons := make(map[ident.Instance]bool)
	for _, i := range v.rosterInstances() {
		if i.Role == roster.Daemon && i.DataCentre == v.self.DataCentre {
			daemons[i.ID] = true
		}
	}
	return daemons
}
