package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// A digest consists of a version byte, the number of heartbeats, the heartbeats,
// and the hashes of the DaemonInfos that the sender requests. A heartbeat is the
// hash of a DaemonInfo and the low byte of its heartbeat counter. Since the digest
// carries the heartbeats themselves, most exchanges need no delta and no second
// call.
const (
	digestVersion  = 1
	hashBytes      = 4
	heartbeatBytes = hashBytes + 1
	// maxRemoteHeartbeats limits the heartbeats of other data centres in one
	// digest. The daemons take turns: 780 daemons in about 3 s at 20 digests a
	// second.
	maxRemoteHeartbeats = 16
	// maxMissingInfos limits the DaemonInfos that one digest requests.
	maxMissingInfos = 64
)

// Section returns the name of the section that daemons exchange.
func (v *View) Section() string { return "member" }

// IsGlobal reports that the section is exchanged with other data centres too.
func (v *View) IsGlobal() bool { return true }

// Digest returns the recent heartbeats, and the hashes of the DaemonInfos that this
// daemon requests.
func (v *View) Digest() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	heartbeats := appendHeartbeat(nil, v.selfHash, v.self.Heartbeat)
	remote := make([]*peerState, 0, len(v.peers))
	for _, id := range v.sortedPeers() {
		p := v.peers[id]
		// A heartbeat is forwarded only for half of the time after which the
		// daemon counts as failed, so that heartbeats of a failed daemon do not
		// circulate for long.
		if now.Sub(p.lastHeartbeatAt) > v.failureTimeout(p)/2 {
			continue
		}
		if p.DataCentre == v.self.DataCentre {
			heartbeats = appendHeartbeat(heartbeats, p.hash, p.Heartbeat)
		} else {
			remote = append(remote, p)
		}
	}
	for range min(maxRemoteHeartbeats, len(remote)) {
		v.remoteCursor++
		p := remote[v.remoteCursor%len(remote)]
		heartbeats = appendHeartbeat(heartbeats, p.hash, p.Heartbeat)
	}
	digest := binary.AppendUvarint([]byte{digestVersion}, uint64(len(heartbeats)/heartbeatBytes))
	digest = append(digest, heartbeats...)
	requested := 0
	for hash := range v.missingInfos {
		if requested++; requested > maxMissingInfos {
			break
		}
		digest = binary.LittleEndian.AppendUint32(digest, uint32(hash))
	}
	return digest
}

// sortedPeers returns the instances of the known peers in a fixed order, so that
// remoteCursor reaches each of them.
func (v *View) sortedPeers() []ident.Instance {
	ids := make([]ident.Instance, 0, len(v.peers))
	for _, p := range v.snapshot.Load().peers {
		if v.peers[p.Instance] != nil {
			ids = append(ids, p.Instance)
		}
	}
	return ids
}

func appendHeartbeat(b []byte, hash infoHash, heartbeat uint64) []byte {
	return append(binary.LittleEndian.AppendUint32(b, uint32(hash)), byte(heartbeat))
}

// Delta applies the heartbeats of the digest and returns the DaemonInfos that the
// digest requests, encoded, or nil if this daemon has none of them.
func (v *View) Delta(digest []byte) []byte {
	heartbeats, requested, ok := splitDigest(digest)
	if !ok {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	for ; len(heartbeats) > 0; heartbeats = heartbeats[heartbeatBytes:] {
		v.applyHeartbeat(infoHash(binary.LittleEndian.Uint32(heartbeats)), heartbeats[hashBytes], now)
	}
	var infos []DaemonInfo
	for ; len(requested) > 0; requested = requested[hashBytes:] {
		switch hash := infoHash(binary.LittleEndian.Uint32(requested)); {
		case hash == v.selfHash:
			infos = append(infos, v.self)
		case v.byHash[hash] != nil:
			infos = append(infos, v.byHash[hash].DaemonInfo)
		}
	}
	if len(infos) == 0 {
		return nil
	}
	raw, err := json.Marshal(infos)
	if err != nil {
		return nil
	}
	return raw
}

// splitDigest returns the heartbeats and the requested hashes of a digest. ok is
// false if the digest is malformed.
func splitDigest(digest []byte) (heartbeats, requested []byte, ok bool) {
	if len(digest) < 2 || digest[0] != digestVersion {
		return nil, nil, false
	}
	n, size := binary.Uvarint(digest[1:])
	content := digest[1+max(size, 0):]
	if size <= 0 || n > uint64(len(content)/heartbeatBytes) {
		return nil, nil, false
	}
	heartbeats, requested = content[:n*heartbeatBytes], content[n*heartbeatBytes:]
	return heartbeats, requested, len(requested)%hashBytes == 0 && len(requested) <= maxMissingInfos*hashBytes
}

// applyHeartbeat applies a heartbeat, which has only the low byte of the counter. The
// heartbeat counts as later if its counter is ahead of the last known counter by less
// than half of the byte's range.
func (v *View) applyHeartbeat(hash infoHash, lowByte byte, now time.Time) {
	if hash == v.selfHash {
		return
	}
	p := v.byHash[hash]
	if p == nil {
		if len(v.missingInfos) < maxMissingInfos {
			v.missingInfos[hash] = now
		}
		return
	}
	advance := int8(lowByte - byte(p.Heartbeat))
	if advance <= 0 {
		return
	}
	wasAlive := v.alive(p, now)
	p.Heartbeat += uint64(advance)
	p.lastAliveAt, p.lastHeartbeatAt = now, now
	if !wasAlive {
		v.publish(now)
	}
}

// Merge applies the DaemonInfos of a peer. If one is malformed, the others are still
// applied.
//
// Errors carry code.BadMessage.
func (v *View) Merge(from ident.Instance, delta []byte) error {
	var infos []DaemonInfo
	if err := json.Unmarshal(delta, &infos); err != nil {
		return code.BadMessage.Wrap(err, "member: merge delta from %s", from)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	var failures []error
	for _, info := range infos {
		if err := info.Check(); err != nil {
			failures = append(failures, err)
			continue
		}
		v.mergeInfo(info, now)
	}
	if err := errors.Join(failures...); err != nil {
		return code.BadMessage.Wrap(err, "member: merge delta from %s", from)
	}
	return nil
}
