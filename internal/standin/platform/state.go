package platform

import (
	"bytes"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxValueBytes is the largest value that the platform accepts.
	maxValueBytes = 1 << 20
	// maxEvents bounds the events kept for watches and for reads of older
	// revisions. Revisions before these events are compacted.
	maxEvents = 20_000
)

// lease is a granted lease with the keys attached to it.
type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
	keys  map[string]struct{}
}

// header returns the header of a response at the current revision. The caller
// holds the lock.
func (p *Platform) header() header {
	return header{ClusterID: 1, MemberID: 1, Revision: int64String(p.revision), RaftTerm: 1}
}

// inRange reports whether the key is in the range from start, inclusive, to end,
// exclusive. An empty end selects only the key start; an end of one zero byte
// leaves the range unbounded, as in etcd.
func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	unbounded := bytes.Equal(end, []byte{0})
	return key >= string(start) && (unbounded || key < string(end))
}

// dataAt returns the data as of a revision, by undoing the later events. Revision
// zero is the current revision. The caller holds the lock and must not change the map.
func (p *Platform) dataAt(revision int64) (map[string]*keyValue, *apiError) {
	if revision > p.revision {
		return nil, errFutureRevision
	}
	if revision <= 0 || revision == p.revision {
		return p.data, nil
	}
	if revision < p.compactedRevision {
		return nil, errCompacted
	}
	data := make(map[string]*keyValue, len(p.data))
	for k, v := range p.data {
		data[k] = v
	}
	for i := len(p.events) - 1; i >= 0; i-- {
		e := p.events[i]
		if int64(e.Kv.ModRevision) <= revision {
			break
		}
		if e.previous == nil {
			delete(data, string(e.Kv.Key))
		} else {
			data[string(e.Kv.Key)] = e.previous
		}
	}
	return data, nil
}

// readRange executes a range request. allowStale must be false for reads inside a
// transaction, which have to agree with the transaction's comparison.
func (p *Platform) readRange(r *rangeRequest, allowStale bool) (*rangeResponse, *apiError) {
	if len(r.Key) == 0 {
		return nil, errEmptyKey
	}
	revision := int64(r.Revision)
	stale := allowStale && revision == 0 && p.clk.Now().Before(p.staleUntil)
	if stale {
		revision = p.staleRevision
	}
	data, apiErr := p.dataAt(revision)
	if apiErr != nil {
		return nil, apiErr
	}
	var matches []*keyValue
	for k, v := range data {
		if inRange(k, r.Key, r.RangeEnd) {
			matches = append(matches, v)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return bytes.Compare(matches[i].Key, matches[j].Key) < 0 })
	response := &rangeResponse{Header: p.header(), Count: int64String(len(matches))}
	if stale {
		response.Header.Revision = int64String(revision)
	}
	if r.CountOnly {
		return response, nil
	}
	if r.Limit > 0 && len(matches) > int(r.Limit) {
		matches, response.More = matches[:r.Limit], true
	}
	if r.KeysOnly {
		for i, v := range matches {
			keyOnly := *v
			keyOnly.Value = nil
			matches[i] = &keyOnly
		}
	}
	response.Kvs = matches
	return response, nil
}

func (p *Platform) put(r *putRequest) (*putResponse, *apiError) {
	if apiErr := p.checkPut(r); apiErr != nil {
		return nil, apiErr
	}
	key := string(r.Key)
	previous := p.data[key]
	p.revision++
	next := &keyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease, Version: 1,
		CreateRevision: int64String(p.revision), ModRevision: int64String(p.revision),
	}
	if previous != nil {
		next.CreateRevision, next.Version = previous.CreateRevision, previous.Version+1
		p.detachFromLease(previous)
	}
	if r.Lease != 0 {
		p.leases[r.Lease].keys[key] = struct{}{}
	}
	p.data[key] = next
	p.appendEvents(event{Kv: next, previous: previous})
	return &putResponse{Header: p.header()}, nil
}

// checkPut returns an error if the key, the value or the lease is invalid.
func (p *Platform) checkPut(r *putRequest) *apiError {
	if len(r.Key) == 0 {
		return errEmptyKey
	}
	if len(r.Value) > maxValueBytes {
		return errTooLarge
	}
	if r.Lease != 0 && p.leases[r.Lease] == nil {
		return errLeaseNotFound
	}
	return nil
}

func (p *Platform) deleteRange(r *deleteRequest) (*deleteResponse, *apiError) {
	if len(r.Key) == 0 {
		return nil, errEmptyKey
	}
	var keys []string
	for k := range p.data {
		if inRange(k, r.Key, r.RangeEnd) {
			keys = append(keys, k)
		}
	}
	p.deleteKeys(keys)
	return &deleteResponse{Header: p.header(), Deleted: int64String(len(keys))}, nil
}

// deleteKeys deletes the keys, all at the same new revision.
func (p *Platform) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	p.revision++
	events := make([]event, 0, len(keys))
	for _, k := range keys {
		previous := p.data[k]
		p.detachFromLease(previous)
		delete(p.data, k)
		tombstone := &keyValue{Key: previous.Key, ModRevision: int64String(p.revision)}
		events = append(events, event{Type: "DELETE", Kv: tombstone, previous: previous})
	}
	p.appendEvents(events...)
}

func (p *Platform) detachFromLease(v *keyValue) {
	if l := p.leases[v.Lease]; l != nil {
		delete(l.keys, string(v.Key))
	}
}

// appendEvents records events, drops the oldest events beyond maxEvents and wakes
// the watches.
func (p *Platform) appendEvents(events ...event) {
	p.events = append(p.events, events...)
	if excess := len(p.events) - maxEvents; excess > 0 {
		p.compactedRevision = int64(p.events[excess-1].Kv.ModRevision)
		p.events = append([]event(nil), p.events[excess:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// executeTxn executes a transaction, which is a compare-and-swap on one key, and
// reports whether the transaction changed the store.
func (p *Platform) executeTxn(r *txnRequest) (*txnResponse, bool, *apiError) {
	if apiErr := checkTxn(r); apiErr != nil {
		return nil, false, apiErr
	}
	response := &txnResponse{Succeeded: len(r.Compare) == 0 || p.compareHolds(&r.Compare[0])}
	ops := r.Failure
	if response.Succeeded {
		ops = r.Success
	}
	revisionBefore := p.revision
	for _, o := range ops {
		opResponse, apiErr := p.applyOp(o)
		if apiErr != nil {
			return nil, false, apiErr
		}
		response.Responses = append(response.Responses, opResponse)
	}
	response.Header = p.header()
	return response, p.revision != revisionBefore, nil
}

func (p *Platform) applyOp(o requestOp) (responseOp, *apiError) {
	var (
		response responseOp
		apiErr   *apiError
	)
	switch {
	case o.Put != nil:
		response.Put, apiErr = p.put(o.Put)
	case o.Delete != nil:
		response.Delete, apiErr = p.deleteRange(o.Delete)
	case o.Range != nil:
		response.Range, apiErr = p.readRange(o.Range, false)
	}
	return response, apiErr
}

// compareHolds reports whether the comparison is true. A missing key has revision
// and version 0.
func (p *Platform) compareHolds(c *compare) bool {
	v := p.data[string(c.Key)]
	if v == nil {
		v = new(keyValue)
	}
	switch c.Target {
	case "MOD":
		return v.ModRevision == c.ModRevision
	case "CREATE":
		return v.CreateRevision == c.CreateRevision
	default:
		return v.Version == c.Version
	}
}

// checkTxn rejects transactions that the platform does not support. A transaction
// must be on one key, with one EQUAL comparison and at most one operation in each
// branch.
func checkTxn(r *txnRequest) *apiError {
	if len(r.Compare) != 1 || len(r.Success) > 1 || len(r.Failure) > 1 {
		return errUnsupportedTxn
	}
	c := &r.Compare[0]
	knownTarget := c.Target == "MOD" || c.Target == "CREATE" || c.Target == "VERSION"
	if !knownTarget || (c.Result != "" && c.Result != "EQUAL") || len(c.RangeEnd) > 0 {
		return errUnsupportedTxn
	}
	for _, branch := range [][]requestOp{r.Success, r.Failure} {
		for i := range branch {
			branch[i].normalise()
			if key, singleKey := opKey(&branch[i]); !singleKey || !bytes.Equal(key, c.Key) {
				return errUnsupportedTxn
			}
		}
	}
	return nil
}

// opKey returns the key of an operation and whether the operation is on that key
// only.
func opKey(o *requestOp) ([]byte, bool) {
	switch {
	case o.Put != nil:
		return o.Put.Key, true
	case o.Delete != nil:
		return o.Delete.Key, len(o.Delete.RangeEnd) == 0
	case o.Range != nil:
		return o.Range.Key, len(o.Range.RangeEnd) == 0
	}
	return nil, false
}

func (p *Platform) grantLease(r *leaseRequest) (*leaseResponse, *apiError) {
	id := r.ID
	if id == 0 {
		p.lastLeaseID++
		id = p.lastLeaseID
	}
	if p.leases[id] != nil {
		return nil, newAPIError(400, 9, "etcdserver: lease already exists")
	}
	seconds := max(r.TTL, 1)
	l := &lease{ttl: time.Duration(seconds) * time.Second, keys: make(map[string]struct{})}
	l.timer = p.clk.AfterFunc(l.ttl, func() { p.expireLease(id, l) })
	p.leases[id] = l
	return &leaseResponse{Header: p.header(), ID: id, TTL: seconds}, nil
}

// keepLeaseAlive renews a lease. A TTL of zero in the response says that the lease
// does not exist or has expired.
func (p *Platform) keepLeaseAlive(r *leaseRequest) *leaseResponse {
	response := &leaseResponse{Header: p.header(), ID: r.ID}
	if l := p.leases[r.ID]; l != nil && l.timer.Stop() {
		l.timer.Reset(l.ttl)
		response.TTL = int64String(l.ttl / time.Second)
	}
	return response
}

func (p *Platform) revokeLease(r *leaseRequest) (*leaseResponse, *apiError) {
	l := p.leases[r.ID]
	if l == nil {
		return nil, errLeaseNotFound
	}
	l.timer.Stop()
	p.endLease(r.ID, l)
	return &leaseResponse{Header: p.header()}, nil
}

// expireLease ends the lease l, unless its id was granted again meanwhile.
func (p *Platform) expireLease(id int64String, l *lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases[id] == l {
		p.endLease(id, l)
	}
}

// endLease deletes a lease with its keys. The caller holds the lock.
func (p *Platform) endLease(id int64String, l *lease) {
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	delete(p.leases, id)
	p.deleteKeys(keys)
}
