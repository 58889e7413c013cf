package etcd

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Options are the parts of a Client.
type Options struct {
	// Addresses of the platform, as host:port or URL; at least one.
	Addresses []string
	Clock     clock.Clock
	// Timeout bounds a call to one address.
	Timeout time.Duration
	// WatchIdle bounds the silence of a watch.
	WatchIdle time.Duration
	// MaxResponse bounds a response, and one message of a watch.
	MaxResponse unit.Bytes
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	options Options
	hosts   []*host
	// preferred is the index of the address that answered last.
	preferred atomic.Int64
	// highestRevision is the highest header revision seen in any answer.
	highestRevision atomic.Int64
	staleAnswers    atomic.Int64
}

// New returns a client; no connection is opened before the first call.
func New(o Options) *Client {
	c := &Client{options: o}
	for _, a := range o.Addresses {
		c.hosts = append(c.hosts, newHost(a, o))
	}
	return c
}

// HighestRevision returns the highest revision that any answer has carried. A List
// with a lower revision was answered from behind.
func (c *Client) HighestRevision() unit.Revision {
	return unit.Revision(c.highestRevision.Load())
}

// StaleAnswers returns the number of answers that came from behind.
func (c *Client) StaleAnswers() int64 {
	return c.staleAnswers.Load()
}

func (c *Client) observeRevision(revision int64String) {
	for {
		highest := c.highestRevision.Load()
		if highest >= int64(revision) || c.highestRevision.CompareAndSwap(highest, int64(revision)) {
			return
		}
	}
}

// Get returns the entry of the key; an absent one has revision 0.
//
// Errors carry code.PlatformUnavailable. An answer from behind is an error,
// since a read-back of a write would draw the wrong conclusion from it.
func (c *Client) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	response, stale, err := c.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Entry{}, err
	}
	if stale {
		return store.Entry{}, code.PlatformUnavailable.New("get %s: answered at revision %d, behind one seen before", key, response.Header.Revision)
	}
	if len(response.KVs) == 0 {
		return store.Entry{Key: key}, nil
	}
	return response.KVs[0].entry(), nil
}

// List returns the entries below the prefix and the revision that the answer
// was given at. The revision is lower than Highest if every address answers
// from behind; such a list must not replace anything newer.
//
// Errors carry code.PlatformUnavailable.
func (c *Client) List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error) {
	response, _, err := c.read(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]store.Entry, 0, len(response.KVs))
	for _, kv := range response.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, unit.Revision(response.Header.Revision), nil
}

// read tries the addresses in turn until one answers that is not behind. It
// returns the newest answer and whether that is behind. The comparison is with
// the highest revision seen before the call: an answer that was overtaken by
// another call's is not behind.
func (c *Client) read(ctx context.Context, request rangeRequest) (*rangeResponse, bool, error) {
	highestBefore := int64String(c.highestRevision.Load())
	var newest *rangeResponse
	var lastErr error
	first := int(c.preferred.Load())
	for i := range c.hosts {
		index := (first + i) % len(c.hosts)
		response := new(rangeResponse)
		if err := c.hosts[index].call(ctx, pathRange, request, response); err != nil {
			lastErr = err
			if ctx.Err() != nil {
				break
			}
			continue
		}
		c.observeRevision(response.Header.Revision)
		if response.Header.Revision >= highestBefore {
			c.preferred.Store(int64(index))
			return response, false, nil
		}
		c.staleAnswers.Add(1)
		if newest == nil || response.Header.Revision > newest.Header.Revision {
			newest = response
		}
	}
	if newest != nil {
		return newest, true, nil
	}
	return nil, false, withCode(lastErr)
}

// tryHosts calls the addresses in turn while again allows it for the failure of the
// last one. The next call begins at another address than one that failed.
func (c *Client) tryHosts(ctx context.Context, path string, request, response any, retryable func(error) bool) error {
	var err error
	first := int(c.preferred.Load())
	for i := range c.hosts {
		index := (first + i) % len(c.hosts)
		err = c.hosts[index].call(ctx, path, request, response)
		if err == nil || isRefusal(err) || ctx.Err() != nil {
			return err
		}
		c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.hosts)))
		if !retryable(err) {
			return err
		}
	}
	return err
}

// write calls one address. Only if it was certainly not reached is the next
// one tried, since a write sent twice could take effect twice.
func (c *Client) write(ctx context.Context, path string, request, response any) error {
	return c.tryHosts(ctx, path, request, response, isUnsent)
}

// Swap writes the key if it has the old revision. Done returns the new entry
// and Lost the current one.
//
// Errors come with store.Unknown and carry code.PlatformUnavailable. Their
// outcome (code.OutcomeOf) is code.NotRun if the write certainly did not and
// will not take effect, and code.Unknown otherwise.
func (c *Client) Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	var response txnResponse
	if err := c.write(ctx, pathTxn, swapRequest(s), &response); err != nil {
		return store.Entry{}, store.Unknown, withSwapCode(err)
	}
	c.observeRevision(response.Header.Revision)
	if response.Succeeded {
		return store.Entry{Key: s.Key, Value: s.Value, Revision: unit.Revision(response.Header.Revision), Lease: s.Lease}, store.Applied, nil
	}
	if len(response.Responses) == 1 && response.Responses[0].Range != nil {
		if kvs := response.Responses[0].Range.KVs; len(kvs) > 0 {
			return kvs[0].entry(), store.Conflict, nil
		}
	}
	return store.Entry{Key: s.Key}, store.Conflict, nil
}

// Grant returns a new lease. The time is rounded up to whole seconds.
//
// Errors carry code.PlatformUnavailable; a lease granted in a lost answer
// lapses by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var response leaseResponse
	seconds := int64String(math.Ceil(ttl.Seconds()))
	if err := c.write(ctx, pathGrant, leaseRequest{TTL: seconds}, &response); err != nil {
		return 0, withCode(err)
	}
	if response.ID == 0 {
		return 0, code.PlatformUnavailable.New("grant: the answer names no lease")
	}
	return store.LeaseID(response.ID), nil
}

// KeepAlive extends the lease and returns the time it has left; zero means
// that it has lapsed. Keeping a lease twice does no harm, so every address is
// tried.
//
// Errors carry code.PlatformUnavailable.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var response keepAliveResponse
	always := func(error) bool { return true }
	err := c.tryHosts(ctx, pathKeepAlive, leaseRequest{ID: int64String(id)}, &response, always)
	if isNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, withCode(err)
	}
	if response.Result == nil {
		return 0, code.PlatformUnavailable.New("keep lease %d: the answer has no result", id)
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and removes its keys. A lease that has lapsed already
// is no error.
//
// Errors carry code.PlatformUnavailable.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	err := c.write(ctx, pathRevoke, leaseRequest{ID: int64String(id)}, &struct{}{})
	if isNotFound(err) {
		return nil
	}
	return withCode(err)
}
