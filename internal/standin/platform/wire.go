package platform

import (
	"fmt"
	"strconv"
	"strings"
)

// int64Text is a 64-bit integer as the JSON mapping of protocol buffers has
// it: written as a string, read as a string or a number.
type int64Text int64

// MarshalJSON writes the integer as a string.
func (i int64Text) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON reads a string or a number.
func (i *int64Text) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("integer %s: %w", b, err)
	}
	*i = int64Text(n)
	return nil
}

type header struct {
	ClusterID int64Text `json:"cluster_id"`
	MemberID  int64Text `json:"member_id"`
	Revision  int64Text `json:"revision"`
	RaftTerm  int64Text `json:"raft_term"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	CreateRevision int64Text `json:"create_revision,omitempty"`
	ModRevision    int64Text `json:"mod_revision,omitempty"`
	Version        int64Text `json:"version,omitempty"`
	Value          []byte    `json:"value,omitempty"`
	Lease          int64Text `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte    `json:"key"`
	RangeEnd  []byte    `json:"range_end"`
	Limit     int64Text `json:"limit"`
	Revision  int64Text `json:"revision"`
	KeysOnly  bool      `json:"keys_only"`
	CountOnly bool      `json:"count_only"`
}

type rangeResponse struct {
	Header header      `json:"header"`
	Kvs    []*keyValue `json:"kvs,omitempty"`
	More   bool        `json:"more,omitempty"`
	Count  int64Text   `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease int64Text `json:"lease"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header    `json:"header"`
	Deleted int64Text `json:"deleted,omitempty"`
}

type compare struct {
	Key            []byte    `json:"key"`
	RangeEnd       []byte    `json:"range_end"`
	Target         string    `json:"target"`
	Result         string    `json:"result"`
	ModRevision    int64Text `json:"mod_revision"`
	CreateRevision int64Text `json:"create_revision"`
	Version        int64Text `json:"version"`
}

// requestOp takes the names of the fields in both spellings that the JSON
// mapping allows.
type requestOp struct {
	Range       *rangeRequest  `json:"request_range"`
	Put         *putRequest    `json:"request_put"`
	Delete      *deleteRequest `json:"request_delete_range"`
	RangeCamel  *rangeRequest  `json:"requestRange"`
	PutCamel    *putRequest    `json:"requestPut"`
	DeleteCamel *deleteRequest `json:"requestDeleteRange"`
}

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
		Key           []byte    `json:"key"`
		RangeEnd      []byte    `json:"range_end"`
		StartRevision int64Text `json:"start_revision"`
	} `json:"create_request"`
}

type event struct {
	// Type is DELETE, or empty for a put, the default value of the protocol.
	Type string    `json:"type,omitempty"`
	Kv   *keyValue `json:"kv"`
	prev *keyValue
}

type watchResult struct {
	Header          header    `json:"header"`
	WatchID         int64Text `json:"watch_id,omitempty"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CompactRevision int64Text `json:"compact_revision,omitempty"`
	Events          []event   `json:"events,omitempty"`
}

type leaseRequest struct {
	TTL int64Text `json:"TTL"`
	ID  int64Text `json:"ID"`
}

type leaseResponse struct {
	Header header    `json:"header"`
	ID     int64Text `json:"ID,omitempty"`
	TTL    int64Text `json:"TTL,omitempty"`
}

// streamMessage wraps a message of a stream.
type streamMessage struct {
	Result any `json:"result"`
}

// apiError is an error of the protocol: a gRPC code and its text.
type apiError struct {
	status  int
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func newAPIError(status, code int, text string) *apiError {
	return &apiError{status: status, Error: text, Code: code, Message: text}
}

// The codes are gRPC's: 3 invalid argument, 5 not found, 11 out of range.
var (
	errEmptyKey       = newAPIError(400, 3, "etcdserver: key is not provided")
	errTooLarge       = newAPIError(400, 3, "etcdserver: request is too large")
	errUnsupportedTxn = newAPIError(400, 3, "etcdserver: a txn of this platform is on one key, with one EQUAL compare and one op a branch")
	errCompacted      = newAPIError(400, 11, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = newAPIError(400, 11, "etcdserver: mvcc: required revision is a future revision")
	errLeaseNotFound  = newAPIError(404, 5, "etcdserver: requested lease not found")
	errUnknownPath    = newAPIError(404, 5, "Not Found")
)
