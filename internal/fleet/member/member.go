// Package member detects which daemons are alive, by heartbeats that daemons
// exchange, and assigns keys to the live daemons of the same data centre by
// rendezvous hashing. Other plug-ins use the owner of a key to decide which daemon
// does a piece of work, such as watching the platform.
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

// Peer is the state of another daemon in this daemon's view.
type Peer = roster.Peer

// DaemonInfo is the information that a daemon sends about itself. Peers forward it
// unchanged.
type DaemonInfo struct {
	Instance      ident.Instance   `json:"i"`
	DataCentre    ident.DataCentre `json:"d"`
	Address       string           `json:"a"`
	CallerAddress string           `json:"c,omitempty"`
	Incarnation   unit.Incarnation `json:"b"`
	Leaving       bool             `json:"l,omitempty"`
	// Heartbeat counts the heartbeats since the daemon started.
	Heartbeat uint64 `json:"h"`
}

// Check returns an error if the instance or the data centre has no valid name.
func (i *DaemonInfo) Check() error {
	if err := ident.CheckName(string(i.Instance)); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if err := ident.CheckName(string(i.DataCentre)); err != nil {
		return fmt.Errorf("data centre of %s: %w", i.Instance, err)
	}
	return nil
}

// infoHash is a hash of a DaemonInfo without its heartbeat counter. With four
// bytes the digest of 60 daemons has about 300 bytes; among 840 daemons two have
// the same hash with a probability of 1 in 12,000.
type infoHash uint32

func (i *DaemonInfo) hash() infoHash {
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], uint64(i.Incarnation))
	if i.Leaving {
		suffix[8] = 1
	}
	h := xxhash.New()
	for _, s := range []string{string(i.Instance), string(i.DataCentre), i.Address, i.CallerAddress} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(suffix[:])
	return infoHash(h.Sum64())
}

// peerState is the latest DaemonInfo of a peer, with the times at which the peer
// was last known to be alive.
type peerState struct {
	DaemonInfo
	hash infoHash
	// lastAliveAt is the time of the last heartbeat or direct contact,
	// lastHeartbeatAt the time of the last heartbeat.
	lastAliveAt     time.Time
	lastHeartbeatAt time.Time
}

// Options configure a View.
type Options struct {
	Self  DaemonInfo
	Clock clock.Clock
	// FailureTimeout is the time without a heartbeat or contact after which a daemon
	// of the same data centre counts as failed; RemoteFailureTimeout is the same for
	// other data centres.
	FailureTimeout       time.Duration
	RemoteFailureTimeout time.Duration
	Seeds                []Seed
	// Roster returns the platform's list of instances; it may be nil.
	Roster func() []roster.Instance
}

// View holds the latest received state of every daemon. Reads take no
// lock.
type View struct {
	options   Options
	startedAt time.Time

	mu       sync.Mutex
	self     DaemonInfo
	selfHash infoHash
	peers    map[ident.Instance]*peerState
	byHash   map[infoHash]*peerState
	// missingInfos has the hashes of received heartbeats whose DaemonInfo this daemon
	// lacks, with the time of the latest such heartbeat.
	missingInfos map[infoHash]time.Time
	// remoteCursor selects the daemons of other data centres whose heartbeats
	// the next digest carries.
	remoteCursor int
	// lastTick is the time of the last Tick. Until untrustedUntil the view may be
	// out of date and names no owners.
	lastTick       time.Time
	untrustedUntil time.Time

	snapshot atomic.Pointer[snapshot]
}

// snapshot is the immutable state that readers use.
type snapshot struct {
	lastTick       time.Time
	untrustedUntil time.Time
	// liveDaemons has the daemons of the same data centre that can own keys, and
	// liveHashes the hashes of their names.
	liveDaemons  []ident.Instance
	liveHashes   []uint64
	peers        []Peer
	knownDaemons int
}

// heartbeatInterval is the time between two heartbeats of a daemon. With 1 s and a
// fan-out of 3, a heartbeat takes up to 2.8 s to reach the last of 60 daemons, too
// close to the 3 s of FailureTimeout.
const heartbeatInterval = 500 * time.Millisecond

// New returns a view with this daemon, the seeds and the roster. The view names no
// owners until a daemon of the same data centre has been contacted or FailureTimeout
// has passed.
func New(o Options) *View {
	now := o.Clock.Now()
	v := &View{
		options: o, startedAt: now, self: o.Self, lastTick: now, untrustedUntil: now.Add(o.FailureTimeout),
		peers: make(map[ident.Instance]*peerState), byHash: make(map[infoHash]*peerState), missingInfos: make(map[infoHash]time.Time),
	}
	v.self.Heartbeat = 1
	v.publish(now)
	return v
}

// Tick advances this daemon's heartbeat and updates the view. The caller calls Tick
// several times per FailureTimeout. If more than FailureTimeout has passed since the
// last call, the process was paused and the view is out of date: it then names no
// owners until a daemon of the same data centre has been contacted or FailureTimeout
// has passed again.
func (v *View) Tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	if now.Sub(v.lastTick) > v.options.FailureTimeout {
		v.untrustedUntil = now.Add(v.options.FailureTimeout)
	}
	v.lastTick = now
	v.self.Heartbeat = 1 + uint64(now.Sub(v.startedAt)/heartbeatInterval)
	v.adoptRosterAddresses()
	v.removeExpired(now)
	v.publish(now)
}

// A silent daemon is removed from the view after localRetention if it is in the
// same data centre, and after remoteRetention otherwise, since data centres of other
// regions may be unreachable for an hour. A missing DaemonInfo is removed after
// missingInfoRetention.
const (
	localRetention       = 10 * time.Minute
	remoteRetention      = 3 * time.Hour
	missingInfoRetention = 5 * time.Second
)

func (v *View) removeExpired(now time.Time) {
	for id, p := range v.peers {
		retention := remoteRetention
		if p.DataCentre == v.self.DataCentre {
			retention = localRetention
		}
		if now.Sub(p.lastAliveAt) > retention {
			delete(v.peers, id)
			delete(v.byHash, p.hash)
		}
	}
	for hash, receivedAt := range v.missingInfos {
		if now.Sub(receivedAt) > missingInfoRetention {
			delete(v.missingInfos, hash)
		}
	}
}

// RecordContact records that the daemon has just answered or sent a call.
func (v *View) RecordContact(id ident.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	p := v.peers[id]
	if p == nil {
		return
	}
	wasAlive := v.alive(p, now)
	p.lastAliveAt = now
	wasTrusted := !now.Before(v.untrustedUntil)
	if p.DataCentre == v.self.DataCentre {
		v.untrustedUntil = time.Time{}
	}
	if !wasAlive || !wasTrusted {
		v.publish(now)
	}
}

// AnnounceStop makes this daemon announce its planned stop, after which it owns no keys.
func (v *View) AnnounceStop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Leaving = true
	v.publish(v.options.Clock.Now())
}

// mergeInfo applies a DaemonInfo from a peer. A later incarnation replaces an
// earlier one. Within an incarnation, Leaving stays set once it has been announced.
func (v *View) mergeInfo(info DaemonInfo, now time.Time) {
	if info.Instance == v.self.Instance {
		return
	}
	delete(v.missingInfos, info.hash())
	p := v.peers[info.Instance]
	switch {
	case p == nil || info.Incarnation > p.Incarnation:
		if p != nil {
			delete(v.byHash, p.hash)
		}
		p = &peerState{DaemonInfo: info, hash: info.hash(), lastAliveAt: now, lastHeartbeatAt: now}
		v.peers[info.Instance] = p
		v.byHash[p.hash] = p
	case info.Incarnation < p.Incarnation:
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
		p.Heartbeat, p.lastAliveAt, p.lastHeartbeatAt = info.Heartbeat, now, now
	}
}

// alive reports whether the daemon sent a heartbeat or had contact within the time
// after which it counts as failed.
func (v *View) alive(p *peerState, now time.Time) bool {
	return now.Sub(p.lastAliveAt) < v.failureTimeout(p)
}

func (v *View) failureTimeout(p *peerState) time.Duration {
	if p.DataCentre == v.self.DataCentre {
		return v.options.FailureTimeout
	}
	return v.options.RemoteFailureTimeout
}

// publish builds and stores the snapshot. The caller holds the lock.
func (v *View) publish(now time.Time) {
	peers := v.configuredPeers()
	for id, state := range v.peers {
		p := peers[id]
		p.Instance, p.DataCentre, p.Address, p.CallerAddress = id, state.DataCentre, state.Address, state.CallerAddress
		p.Alive = v.alive(state, now)
		p.Leaving = p.Leaving || state.Leaving
		peers[id] = p
	}
	s := &snapshot{lastTick: v.lastTick, untrustedUntil: v.untrustedUntil, knownDaemons: 1}
	configuredSelf := peers[v.self.Instance]
	if !v.self.Leaving && !configuredSelf.Leaving {
		s.liveDaemons = append(s.liveDaemons, v.self.Instance)
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
			s.liveDaemons = append(s.liveDaemons, id)
		}
	}
	sort.Slice(s.peers, func(i, j int) bool { return s.peers[i].Instance < s.peers[j].Instance })
	sort.Slice(s.liveDaemons, func(i, j int) bool { return s.liveDaemons[i] < s.liveDaemons[j] })
	for _, id := range s.liveDaemons {
		s.liveHashes = append(s.liveHashes, xxhash.Sum64String(string(id)))
	}
	v.snapshot.Store(s)
}

// configuredPeers returns the daemons that the seeds and the roster list. The
// roster takes precedence, since it is newer than the settings.
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

// rosterDaemons returns the daemons of the same data centre that the roster lists.
func (v *View) rosterDaemons() map[ident.Instance]bool {
	daemons := make(map[ident.Instance]bool)
	for _, i := range v.rosterInstances() {
		if i.Role == roster.Daemon && i.DataCentre == v.self.DataCentre {
			daemons[i.ID] = true
		}
	}
	return daemons
}
