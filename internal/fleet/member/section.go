package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// A digest is: version byte; number of heartbeats; heartbeats of key and low
// byte of the counter; keys wanted. It carries the heartbeats themselves, so
// that the usual exchange needs no delta and no second call.
const (
	digestVersion  = 1
	hashBytes      = 4
	heartbeatBytes = hashBytes + 1
	// maxRemoteHeartbeats bounds the heartbeats of other data centres in one digest. They
	// take turns: 780 daemons in about 3 s at 20 digests a second.
	maxRemoteHeartbeats = 16
	// maxMissing bounds the entries asked for at once.
	maxMissing = 64
)

// Section is the peer section's name.
func (v *View) Section() string { return "member" }

// Global says that other data centres take part.
func (v *View) Global() bool { return true }

// Digest returns the fresh heartbeats and the keys of the entries wanted.
func (v *View) Digest() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	heartbeats := appendHeartbeat(nil, v.selfHash, v.self.Heartbeat)
	remote := make([]*peerState, 0, len(v.peers))
	for _, id := range v.sortedPeers() {
		p := v.peers[id]
		// Heartbeats are passed on for half the limit only, so that they
		// don't circulate long after a daemon's death.
		if now.Sub(p.lastHeartbeat) > v.deadAfter(p)/2 {
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
		k := remote[v.remoteCursor%len(remote)]
		heartbeats = appendHeartbeat(heartbeats, k.hash, k.Heartbeat)
	}
	digest := binary.AppendUvarint([]byte{digestVersion}, uint64(len(heartbeats)/heartbeatBytes))
	digest = append(digest, heartbeats...)
	requested := 0
	for k := range v.missing {
		if requested++; requested > maxMissing {
			break
		}
		digest = binary.LittleEndian.AppendUint32(digest, uint32(k))
	}
	return digest
}

// sortedPeers returns the instances in order. With an order the cursor reaches all.
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

// Delta takes the heartbeats of the digest and returns the entries wanted.
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

// splitDigest returns the heartbeats and the wanted keys of a digest.
func splitDigest(digest []byte) (heartbeats, requested []byte, ok bool) {
	if len(digest) < 2 || digest[0] != digestVersion {
		return nil, nil, false
	}
	n, size := binary.Uvarint(digest[1:])
	rest := digest[1+max(size, 0):]
	if size <= 0 || n > uint64(len(rest)/heartbeatBytes) {
		return nil, nil, false
	}
	heartbeats, requested = rest[:n*heartbeatBytes], rest[n*heartbeatBytes:]
	return heartbeats, requested, len(requested)%hashBytes == 0 && len(requested) <= maxMissing*hashBytes
}

// applyHeartbeat takes one heartbeat, of which the low byte is known. It counts as later
// if it is ahead by less than half the byte's range.
func (v *View) applyHeartbeat(hash infoHash, lowByte byte, now time.Time) {
	if hash == v.selfHash {
		return
	}
	p := v.byHash[hash]
	if p == nil {
		if len(v.missing) < maxMissing {
			v.missing[hash] = now
		}
		return
	}
	advance := int8(lowByte - byte(p.Heartbeat))
	if advance <= 0 {
		return
	}
	wasAlive := v.alive(p, now)
	p.Heartbeat += uint64(advance)
	p.lastHeard, p.lastHeartbeat = now, now
	if !wasAlive {
		v.publish(now)
	}
}

// Merge takes entries from a peer. A malformed one doesn't stop the others.
func (v *View) Merge(from ident.Instance, delta []byte) error {
	var infos []DaemonInfo
	if err := json.Unmarshal(delta, &infos); err != nil {
		return code.BadMessage.Wrap(err, "member: delta of %s", from)
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
		return code.BadMessage.Wrap(err, "member: delta of %s", from)
	}
	return nil
}
