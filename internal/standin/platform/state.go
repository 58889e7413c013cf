package platform

import (
	"bytes"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxValueBytes is the platform's limit of a value.
	maxValueBytes = 1 << 20
	// maxEvents bounds the events kept for watches and reads of older
	// revisions; earlier ones count as compacted.
	maxEvents = 20_000
)

type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
	keys  map[string]struct{}
}

// header returns the response header. The caller holds the lock.
func (p *Platform) header() header {
	return header{ClusterID: 1, MemberID: 1, Revision: int64Text(p.revision), RaftTerm: 1}
}

// inRange reports whether the key is in the range, which without an end is the
// one key. An end of one zero byte means every later key.
func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	unbounded := bytes.Equal(end, []byte{0})
	return key >= string(start) && (unbounded || key < string(end))
}

// dataAt returns the data at a revision, by undoing the events after it.
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
		if e.prev == nil {
			delete(data, string(e.Kv.Key))
		} else {
			data[string(e.Kv.Key)] = e.prev
		}
	}
	return data, nil
}

// readRange answers a range. Only reads outside a txn may be stale, as the ones
// inside agree with its compare.
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
	response := &rangeResponse{Header: p.header(), Count: int64Text(len(matches))}
	if stale {
		response.Header.Revision = int64Text(revision)
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
	prev := p.data[key]
	p.revision++
	next := &keyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease, Version: 1,
		CreateRevision: int64Text(p.revision), ModRevision: int64Text(p.revision),
	}
	if prev != nil {
		next.CreateRevision, next.Version = prev.CreateRevision, prev.Version+1
		p.detachFromLease(prev)
	}
	if r.Lease != 0 {
		p.leases[r.Lease].keys[key] = struct{}{}
	}
	p.data[key] = next
	p.appendEvents(event{Kv: next, prev: prev})
	return &putResponse{Header: p.header()}, nil
}

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
	return &deleteResponse{Header: p.header(), Deleted: int64Text(len(keys))}, nil
}

// deleteKeys deletes the keys at one new revision.
func (p *Platform) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	p.revision++
	events := make([]event, 0, len(keys))
	for _, k := range keys {
		prev := p.data[k]
		p.detachFromLease(prev)
		delete(p.data, k)
		tombstone := &keyValue{Key: prev.Key, ModRevision: int64Text(p.revision)}
		events = append(events, event{Type: "DELETE", Kv: tombstone, prev: prev})
	}
	p.appendEvents(events...)
}

func (p *Platform) detachFromLease(v *keyValue) {
	if l := p.leases[v.Lease]; l != nil {
		delete(l.keys, string(v.Key))
	}
}

// appendEvents records events and wakes the watches.
func (p *Platform) appendEvents(events ...event) {
	p.events = append(p.events, events...)
	if excess := len(p.events) - maxEvents; excess > 0 {
		p.compactedRevision = int64(p.events[excess-1].Kv.ModRevision)
		p.events = append([]event(nil), p.events[excess:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// txn performs a compare-and-swap on one key.
func (p *Platform) txn(r *txnRequest) (*txnResponse, bool, *apiError) {
	if apiErr := checkTxn(r); apiErr != nil {
		return nil, false, apiErr
	}
	response := &txnResponse{Succeeded: len(r.Compare) == 0 || p.compareHolds(&r.Compare[0])}
	ops := r.Failure
	if response.Succeeded {
		ops = r.Success
	}
	before := p.revision
	for _, o := range ops {
		opResponse, apiErr := p.applyOp(o)
		if apiErr != nil {
			return nil, false, apiErr
		}
		response.Responses = append(response.Responses, opResponse)
	}
	response.Header = p.header()
	return response, p.revision != before, nil
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

// checkTxn rejects what the platform doesn't offer: more than one key, or
// anything but one EQUAL compare and one op a branch.
func checkTxn(r *txnRequest) *apiError {
	if len(r.Compare) != 1 || len(r.Success) > 1 || len(r.Failure) > 1 {
		return errUnsupportedTxn
	}
	c := &r.Compare[0]
	known := c.Target == "MOD" || c.Target == "CREATE" || c.Target == "VERSION"
	if !known || (c.Result != "" && c.Result != "EQUAL") || len(c.RangeEnd) > 0 {
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

// opKey returns the key of an op and whether it is an op on one key.
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

func (p *Platform) grant(r *leaseRequest) (*leaseResponse, *apiError) {
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
	l.timer = p.clk.AfterFunc(l.ttl, func() { p.expire(id, l) })
	p.leases[id] = l
	return &leaseResponse{Header: p.header(), ID: id, TTL: seconds}, nil
}

// keepAlive renews a lease. A TTL of zero says that it has lapsed.
func (p *Platform) keepAlive(r *leaseRequest) *leaseResponse {
	response := &leaseResponse{Header: p.header(), ID: r.ID}
	if l := p.leases[r.ID]; l != nil && l.timer.Stop() {
		l.timer.Reset(l.ttl)
		response.TTL = int64Text(l.ttl / time.Second)
	}
	return response
}

func (p *Platform) revoke(r *leaseRequest) (*leaseResponse, *apiError) {
	l := p.leases[r.ID]
	if l == nil {
		return nil, errLeaseNotFound
	}
	l.timer.Stop()
	p.endLease(r.ID, l)
	return &leaseResponse{Header: p.header()}, nil
}

func (p *Platform) expire(id int64Text, l *lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases[id] == l {
		p.endLease(id, l)
	}
}

func (p *Platform) endLease(id int64Text, l *lease) {
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	delete(p.leases, id)
	p.deleteKeys(keys)
}
