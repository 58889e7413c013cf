package etcd

import (
	"strconv"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// int64String is an int64 that the protocol's JSON encodes as a string. A JSON number
// is accepted too.
type int64String int64

// MarshalJSON encodes the number as a string.
func (n int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a string with a number or a JSON number.
func (n *int64String) UnmarshalJSON(raw []byte) error {
	text := string(raw)
	if len(raw) >= 2 && raw[0] == '"' {
		text = string(raw[1 : len(raw)-1])
	}
	v, err := strconv.ParseInt(text, 10, 64)
	*n = int64String(v)
	return err
}

type header struct {
	Revision int64String `json:"revision"`
}

type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value,omitempty"`
	ModRevision int64String `json:"mod_revision"`
	Lease       int64String `json:"lease,omitempty"`
}

func (kv keyValue) entry() store.Entry {
	return store.Entry{
		Key:      store.Key(kv.Key),
		Value:    kv.Value,
		Revision: unit.Revision(kv.ModRevision),
		Lease:    store.LeaseID(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type operation struct {
	Put   *putRequest   `json:"requestPut,omitempty"`
	Range *rangeRequest `json:"requestRange,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

// swapRequest returns a transaction that puts one key if it has the expected
// revision, and reads the key otherwise. In the comparison an absent key has
// revision 0.
func swapRequest(s store.Swap) txnRequest {
	key := []byte(s.Key)
	return txnRequest{
		Compare: []compare{{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: int64String(s.ExpectedRevision)}},
		Success: []operation{{Put: &putRequest{Key: key, Value: s.Value, Lease: int64String(s.Lease)}}},
		Failure: []operation{{Range: &rangeRequest{Key: key}}},
	}
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            []byte      `json:"key"`
	RangeEnd       []byte      `json:"range_end"`
	StartRevision  int64String `json:"start_revision"`
	ProgressNotify bool        `json:"progress_notify"`
}

type watchMessage struct {
	Result *watchResult `json:"result"`
	Error  *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type watchResult struct {
	Header          header      `json:"header"`
	Created         bool        `json:"created"`
	Canceled        bool        `json:"canceled"`
	CancelReason    string      `json:"cancel_reason"`
	CompactRevision int64String `json:"compact_revision"`
	Events          []struct {
		Type string   `json:"type"`
		KV   keyValue `json:"kv"`
	} `json:"events"`
}

func (r *watchResult) changes() []store.Change {
	changes := make([]store.Change, 0, len(r.Events))
	for _, e := range r.Events {
		changes = append(changes, store.Change{Entry: e.KV.entry(), Removed: e.Type == "DELETE"})
	}
	return changes
}

// completeUpTo returns the revision up to which the watch has reported all changes
// after this message, or zero if the message does not state it. The header revision of
// a message that creates a watch or has events may be higher than the revision of events
// that have not been sent yet, so only a progress notification's header
// revision is used.
func (r *watchResult) completeUpTo() unit.Revision {
	if n := len(r.Events); n > 0 {
		return unit.Revision(r.Events[n-1].KV.ModRevision)
	}
	if r.Created {
		return 0
	}
	return unit.Revision(r.Header.Revision)
}

type leaseRequest struct {
	ID  int64String `json:"ID"`
	TTL int64String `json:"TTL,omitempty"`
}

type leaseResponse struct {
	Header header      `json:"header"`
	ID     int64String `json:"ID"`
	TTL    int64String `json:"TTL"`
}

type keepAliveResponse struct {
	Result *leaseResponse `json:"result"`
}

// prefixEnd returns the first key after all keys with the prefix. If there is no such
// key, because the prefix is empty or consists of 0xff bytes, it returns a zero byte,
// which means the end of all keys in the protocol.
func prefixEnd(prefix store.Key) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
