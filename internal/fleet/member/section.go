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
	beats := appendHeartbeat(nil, v.selfHash, v.self.Heartbeat)
	far := make([]*peerState, 0, len(v.peers))
	for _, id := range v.sortedPeers() {
		k := v.peers[id]
		// Heartbeats are passed on for half the limit only, so that they
		// don't circulate long after a daemon's death.
		if now.Sub(k.lastHeartbeat) > v.deadAfter(k)/2 {
			continue
		}
		if k.DataCentre == v.self.DataCentre {
			beats = appendHeartbeat(beats, k.hash, k.Heartbeat)
		} else {
			far = append(far, k)
		}
	}
	for range min(maxRemoteHeartbeats, len(far)) {
		v.remoteCursor++
		k := far[v.remoteCursor%len(far)]
		beats = appendHeartbeat(beats, k.hash, k.Heartbeat)
	}
	digest := binary.AppendUvarint([]byte{digestVersion}, uint64(len(beats)/heartbeatBytes))
	digest = append(digest, beats...)
	wants := 0
	for k := range v.missing {
		if wants++; wants > maxMissing {
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

func appendHeartbeat(b []byte, k infoHash, beat uint64) []byte {
	return append(binary.LittleEndian.AppendUint32(b, uint32(k)), byte(beat))
}

// Delta takes the heartbeats of the digest and returns the entries wanted.
func (v *View) Delta(digest []byte) []byte {
	beats, wants, ok := splitDigest(digest)
	if !ok {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	for ; len(beats) > 0; beats = beats[heartbeatBytes:] {
		v.applyHeartbeat(infoHash(binary.LittleEndian.Uint32(beats)), beats[hashBytes], now)
	}
	var send []DaemonInfo
	for ; len(wants) > 0; wants = wants[hashBytes:] {
		switch k := infoHash(binary.LittleEndian.Uint32(wants)); {
		case k == v.selfHash:
			send = append(send, v.self)
		case v.byHash[k] != nil:
			send = append(send, v.byHash[k].DaemonInfo)
		}
	}
	if len(send) == 0 {
		return nil
	}
	raw, err := json.Marshal(send)
	if err != nil {
		return nil
	}
	return raw
}

// splitDigest returns the heartbeats and the wanted keys of a digest.
func splitDigest(digest []byte) (beats, wants []byte, ok bool) {
	if len(digest) < 2 || digest[0] != digestVersion {
		return nil, nil, false
	}
	n, size := binary.Uvarint(digest[1:])
	rest := digest[1+max(size, 0):]
	if size <= 0 || n > uint64(len(rest)/heartbeatBytes) {
		return nil, nil, false
	}
	beats, wants = rest[:n*heartbeatBytes], rest[n*heartbeatBytes:]
	return beats, wants, len(wants)%hashBytes == 0 && len(wants) <= maxMissing*hashBytes
}

// applyHeartbeat takes one heartbeat, of which the low byte is known. It counts as later
// if it is ahead by less than half the byte's range.
func (v *View) applyHeartbeat(k infoHash, low byte, now time.Time) {
	if k == v.selfHash {
		return
	}
	e := v.byHash[k]
	if e == nil {
		if len(v.missing) < maxMissing {
			v.missing[k] = now
		}
		return
	}
	ahead := int8(low - byte(e.Heartbeat))
	if ahead <= 0 {
		return
	}
	fresh := v.alive(e, now)
	e.Heartbeat += uint64(ahead)
	e.lastHeard, e.lastHeartbeat = now, now
	if !fresh {
		v.publish(now)
	}
}

// Merge takes entries from a peer. A malformed one doesn't stop the others.
func (v *View) Merge(from ident.Instance, delta []byte) error {
	var got []DaemonInfo
	if err := json.Unmarshal(delta, &got); err != nil {
		return code.BadMessage.Wrap(err, "member: delta of %s", from)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Clock.Now()
	var failures []error
	for _, e := range got {
		if err := e.Check(); err != nil {
			failures = append(failures, err)
			continue
		}
		v.mergeInfo(e, now)
	}
	if err := errors.Join(failures...); err != nil {
		return code.BadMessage.Wrap(err, "member: delta of %s", from)
	}
	return nil
}
