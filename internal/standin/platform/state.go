package platform

import (
	"bytes"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxValue is the platform's limit of a value.
	maxValue = 1 << 20
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

// within reports whether the key is in the range, which without an end is the
// one key. An end of one zero byte means every later key.
func within(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	open := bytes.Equal(end, []byte{0})
	return key >= string(from) && (open || key < string(end))
}

// at returns the data at a revision, by undoing the events after it.
func (p *Platform) at(revision int64) (map[string]*keyValue, *fault) {
	if revision > p.revision {
		return nil, errFuture
	}
	if revision <= 0 || revision == p.revision {
		return p.data, nil
	}
	if revision < p.compacted {
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

// read answers a range. Only reads outside a txn may be stale, as the ones
// inside agree with its compare.
func (p *Platform) read(r *rangeRequest, mayBeStale bool) (*rangeResponse, *fault) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	revision := int64(r.Revision)
	stale := mayBeStale && revision == 0 && p.clk.Now().Before(p.staleUntil)
	if stale {
		revision = p.staleRevision
	}
	data, f := p.at(revision)
	if f != nil {
		return nil, f
	}
	var found []*keyValue
	for k, v := range data {
		if within(k, r.Key, r.RangeEnd) {
			found = append(found, v)
		}
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	answer := &rangeResponse{Header: p.header(), Count: int64Text(len(found))}
	if stale {
		answer.Header.Revision = int64Text(revision)
	}
	if r.CountOnly {
		return answer, nil
	}
	if r.Limit > 0 && len(found) > int(r.Limit) {
		found, answer.More = found[:r.Limit], true
	}
	if r.KeysOnly {
		for i, v := range found {
			bare := *v
			bare.Value = nil
			found[i] = &bare
		}
	}
	answer.Kvs = found
	return answer, nil
}

func (p *Platform) put(r *putRequest) (*putResponse, *fault) {
	if f := p.checkPut(r); f != nil {
		return nil, f
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
		p.detach(prev)
	}
	if r.Lease != 0 {
		p.leases[r.Lease].keys[key] = struct{}{}
	}
	p.data[key] = next
	p.emit(event{Kv: next, prev: prev})
	return &putResponse{Header: p.header()}, nil
}

func (p *Platform) checkPut(r *putRequest) *fault {
	if len(r.Key) == 0 {
		return errNoKey
	}
	if len(r.Value) > maxValue {
		return errTooLarge
	}
	if r.Lease != 0 && p.leases[r.Lease] == nil {
		return errNoLease
	}
	return nil
}

func (p *Platform) remove(r *deleteRequest) (*deleteResponse, *fault) {
	if len(r.Key) == 0 {
		return nil, errNoKey
	}
	var keys []string
	for k := range p.data {
		if within(k, r.Key, r.RangeEnd) {
			keys = append(keys, k)
		}
	}
	p.drop(keys)
	return &deleteResponse{Header: p.header(), Deleted: int64Text(len(keys))}, nil
}

// drop deletes the keys at one new revision.
func (p *Platform) drop(keys []string) {
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	p.revision++
	events := make([]event, 0, len(keys))
	for _, k := range keys {
		prev := p.data[k]
		p.detach(prev)
		delete(p.data, k)
		gone := &keyValue{Key: prev.Key, ModRevision: int64Text(p.revision)}
		events = append(events, event{Type: "DELETE", Kv: gone, prev: prev})
	}
	p.emit(events...)
}

func (p *Platform) detach(v *keyValue) {
	if l := p.leases[v.Lease]; l != nil {
		delete(l.keys, string(v.Key))
	}
}

// emit records events and wakes the watches.
func (p *Platform) emit(events ...event) {
	p.events = append(p.events, events...)
	if over := len(p.events) - maxEvents; over > 0 {
		p.compacted = int64(p.events[over-1].Kv.ModRevision)
		p.events = append([]event(nil), p.events[over:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// txn performs a compare-and-swap on one key.
func (p *Platform) txn(r *txnRequest) (*txnResponse, bool, *fault) {
	if f := checkTxn(r); f != nil {
		return nil, false, f
	}
	answer := &txnResponse{Succeeded: len(r.Compare) == 0 || p.equal(&r.Compare[0])}
	ops := r.Failure
	if answer.Succeeded {
		ops = r.Success
	}
	before := p.revision
	for _, o := range ops {
		done, f := p.perform(o)
		if f != nil {
			return nil, false, f
		}
		answer.Responses = append(answer.Responses, done)
	}
	answer.Header = p.header()
	return answer, p.revision != before, nil
}

func (p *Platform) perform(o requestOp) (responseOp, *fault) {
	var (
		done responseOp
		f    *fault
	)
	switch {
	case o.Put != nil:
		done.Put, f = p.put(o.Put)
	case o.Delete != nil:
		done.Delete, f = p.remove(o.Delete)
	case o.Range != nil:
		done.Range, f = p.read(o.Range, false)
	}
	return done, f
}

func (p *Platform) equal(c *compare) bool {
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
func checkTxn(r *txnRequest) *fault {
	if len(r.Compare) != 1 || len(r.Success) > 1 || len(r.Failure) > 1 {
		return errManyKeys
	}
	c := &r.Compare[0]
	known := c.Target == "MOD" || c.Target == "CREATE" || c.Target == "VERSION"
	if !known || (c.Result != "" && c.Result != "EQUAL") || len(c.RangeEnd) > 0 {
		return errManyKeys
	}
	for _, branch := range [][]requestOp{r.Success, r.Failure} {
		for i := range branch {
			branch[i].normalise()
			if key, one := opKey(&branch[i]); !one || !bytes.Equal(key, c.Key) {
				return errManyKeys
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

func (p *Platform) grant(r *leaseRequest) (*leaseResponse, *fault) {
	id := r.ID
	if id == 0 {
		p.lastLease++
		id = p.lastLease
	}
	if p.leases[id] != nil {
		return nil, newFault(400, 9, "etcdserver: lease already exists")
	}
	seconds := max(r.TTL, 1)
	l := &lease{ttl: time.Duration(seconds) * time.Second, keys: make(map[string]struct{})}
	l.timer = p.clk.AfterFunc(l.ttl, func() { p.expire(id, l) })
	p.leases[id] = l
	return &leaseResponse{Header: p.header(), ID: id, TTL: seconds}, nil
}

// keepAlive renews a lease. A TTL of zero says that it has lapsed.
func (p *Platform) keepAlive(r *leaseRequest) *leaseResponse {
	answer := &leaseResponse{Header: p.header(), ID: r.ID}
	if l := p.leases[r.ID]; l != nil && l.timer.Stop() {
		l.timer.Reset(l.ttl)
		answer.TTL = int64Text(l.ttl / time.Second)
	}
	return answer
}

func (p *Platform) revoke(r *leaseRequest) (*leaseResponse, *fault) {
	l := p.leases[r.ID]
	if l == nil {
		return nil, errNoLease
	}
	l.timer.Stop()
	p.end(r.ID, l)
	return &leaseResponse{Header: p.header()}, nil
}

func (p *Platform) expire(id int64Text, l *lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases[id] == l {
		p.end(id, l)
	}
}

func (p *Platform) end(id int64Text, l *lease) {
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	delete(p.leases, id)
	p.drop(keys)
}
