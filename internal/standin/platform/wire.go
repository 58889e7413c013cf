package platform

import (
	"fmt"
	"strconv"
	"strings"
)

// int64String is a 64-bit integer in the JSON mapping of protocol buffers: encoded
// as a string, decoded from a string or a number.
type int64String int64

// MarshalJSON encodes the integer as a string.
func (i int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON decodes a string or a number.
func (i *int64String) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("parse 64-bit integer %s: %w", b, err)
	}
	*i = int64String(n)
	return nil
}

type header struct {
	ClusterID int64String `json:"cluster_id"`
	MemberID  int64String `json:"member_id"`
	Revision  int64String `json:"revision"`
	RaftTerm  int64String `json:"raft_term"`
}

type keyValue struct {
	Key            []byte      `json:"key"`
	CreateRevision int64String `json:"create_revision,omitempty"`
	ModRevision    int64String `json:"mod_revision,omitempty"`
	Version        int64String `json:"version,omitempty"`
	Value          []byte      `json:"value,omitempty"`
	Lease          int64String `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte      `json:"key"`
	RangeEnd  []byte      `json:"range_end"`
	Limit     int64String `json:"limit"`
	Revision  int64String `json:"revision"`
	KeysOnly  bool        `json:"keys_only"`
	CountOnly bool        `json:"count_only"`
}

type rangeResponse struct {
	Header header      `json:"header"`
	Kvs    []*keyValue `json:"kvs,omitempty"`
	More   bool        `json:"more,omitempty"`
	Count  int64String `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header      `json:"header"`
	Deleted int64String `json:"deleted,omitempty"`
}

type compare struct {
	Key            []byte      `json:"key"`
	RangeEnd       []byte      `json:"range_end"`
	Target         string      `json:"target"`
	Result         string      `json:"result"`
	ModRevision    int64String `json:"mod_revision"`
	CreateRevision int64String `json:"create_revision"`
	Version        int64String `json:"version"`
}

// requestOp is one operation of a transaction. The JSON mapping allows two
// spellings of each field name.
type requestOp struct {
	Range       *rangeRequest  `json:"request_range"`
	Put         *putRequest    `json:"request_put"`
	Delete      *deleteRequest `json:"request_delete_range"`
	RangeCamel  *rangeRequest  `json:"requestRange"`
	PutCamel    *putRequest    `json:"requestPut"`
	DeleteCamel *deleteRequest `json:"requestDeleteRange"`
}

// normalise sets each field from its camel-case spelling, unless it is set already.
func (o *requestOp) normalise() {
	if o.Range == nil {
		o.Range = o.RangeCamel
	}
	if o.Put == nil {
		o.Put = o.PutCamel
	}
	if o.Delete == nil {
		o.Delete = o.DeleteCamel
	}
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte      `json:"key"`
		RangeEnd      []byte      `json:"range_end"`
		StartRevision int64String `json:"start_revision"`
	} `json:"create_request"`
}

type event struct {
	// Type is DELETE, or empty for a put, which is the default in the protocol.
	Type string    `json:"type,omitempty"`
	Kv   *keyValue `json:"kv"`
	// previous is the value before the event, nil if the key did not exist.
	previous *keyValue
}

type watchResult struct {
	Header          header      `json:"header"`
	WatchID         int64String `json:"watch_id,omitempty"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision int64String `json:"compact_revision,omitempty"`
	Events          []event     `json:"events,omitempty"`
}

type leaseRequest struct {
	TTL int64String `json:"TTL"`
	ID  int64String `json:"ID"`
}

type leaseResponse struct {
	Header header      `json:"header"`
	ID     int64String `json:"ID,omitempty"`
	TTL    int64String `json:"TTL,omitempty"`
}

// streamMessage wraps a response of a streaming call.
type streamMessage struct {
	Result any `json:"result"`
}

// apiError is an error response of the etcd JSON API, with a gRPC status code.
// status is the HTTP status.
type apiError struct {
	status  int
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func newAPIError(status, code int, text string) *apiError {
	return &apiError{status: status, Error: text, Code: code, Message: text}
}

// The gRPC status codes are: 3 invalid argument, 5 not found, 9 failed
// precondition, 11 out of range.
var (
	errEmptyKey       = newAPIError(400, 3, "etcdserver: key is not provided")
	errTooLarge       = newAPIError(400, 3, "etcdserver: request is too large")
	errUnsupportedTxn = newAPIError(400, 3, "etcdserver: unsupported txn: want one key, one EQUAL compare and at most one op in each branch")
	errCompacted      = newAPIError(400, 11, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = newAPIError(400, 11, "etcdserver: mvcc: required revision is a future revision")
	errLeaseNotFound  = newAPIError(404, 5, "etcdserver: requested lease not found")
	errUnknownPath    = newAPIError(404, 5, "Not Found")
)
