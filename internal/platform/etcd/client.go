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

// Options configure a Client.
type Options struct {
	// Addresses are the addresses of the platform, as host:port or URL. There is at
	// least one.
	Addresses []string
	Clock     clock.Clock
	// Timeout is the time limit of a call to one address.
	Timeout time.Duration
	// WatchIdle is the time without a message after which a watch ends.
	WatchIdle time.Duration
	// MaxResponse is the limit of the size of a response and of one message of a
	// watch.
	MaxResponse unit.Bytes
}

// Client calls the platform's key-value store. It is safe for concurrent use.
type Client struct {
	options Options
	hosts   []*host
	// preferred is the index of the host that is called first.
	preferred atomic.Int64
	// highestRevision is the highest header revision of all responses.
	highestRevision atomic.Int64
	staleResponses  atomic.Int64
}

// New returns a client. It opens no connection before the first call.
func New(o Options) *Client {
	c := &Client{options: o}
	for _, a := range o.Addresses {
		c.hosts = append(c.hosts, newHost(a, o))
	}
	return c
}

// HighestRevision returns the highest revision of all responses. A List with a lower
// revision is stale: it may lack changes.
func (c *Client) HighestRevision() unit.Revision {
	return unit.Revision(c.highestRevision.Load())
}

// StaleResponses returns the number of responses at a lower revision than an earlier
// response.
func (c *Client) StaleResponses() int64 {
	return c.staleResponses.Load()
}

func (c *Client) observeRevision(revision int64String) {
	for {
		highest := c.highestRevision.Load()
		if highest >= int64(revision) || c.highestRevision.CompareAndSwap(highest, int64(revision)) {
			return
		}
	}
}

// Get returns the entry of the key. The entry of an absent key has revision 0.
//
// Errors carry code.PlatformUnavailable. A stale response is an error, since a caller
// that reads back its write would conclude that the write had no effect.
func (c *Client) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	response, stale, err := c.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Entry{}, err
	}
	if stale {
		return store.Entry{}, code.PlatformUnavailable.New("get %s: stale response at revision %d, an earlier response had a higher revision", key, response.Header.Revision)
	}
	if len(response.KVs) == 0 {
		return store.Entry{Key: key}, nil
	}
	return response.KVs[0].entry(), nil
}

// List returns the entries below the prefix and the revision of the response. If
// every address returns a stale response, the revision is lower than HighestRevision;
// such a list must not replace newer entries.
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

// read calls the addresses in turn until a response is not stale. It returns the
// newest response and whether it is stale. A response is stale if its revision is
// lower than the highest revision received before the call. A higher revision that a
// concurrent call receives meanwhile does not make the response stale.
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
		c.staleResponses.Add(1)
		if newest == nil || response.Header.Revision > newest.Header.Revision {
			newest = response
		}
	}
	if newest != nil {
		return newest, true, nil
	}
	return nil, false, withCode(lastErr)
}

// tryHosts calls the addresses in turn until one responds or refuses, or until an
// error is not retryable. After a failure the next call starts at the following
// address.
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

// write calls the next address only if the request was certainly not sent to the
// previous address, since a write that is sent twice could take effect twice.
func (c *Client) write(ctx context.Context, path string, request, response any) error {
	return c.tryHosts(ctx, path, request, response, isUnsent)
}

// Swap writes the key if it has the expected revision. It returns the new entry with
// store.Applied, or the current entry with store.Conflict.
//
// Errors come with store.Unknown and carry code.PlatformUnavailable. Their outcome
// (code.OutcomeOf) is code.NotRun if the write certainly has no effect, now or later,
// and code.Unknown otherwise.
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

// Grant returns a new lease. The time to live is rounded up to whole seconds.
//
// Errors carry code.PlatformUnavailable. If the response is lost, the granted lease
// expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var response leaseResponse
	seconds := int64String(math.Ceil(ttl.Seconds()))
	if err := c.write(ctx, pathGrant, leaseRequest{TTL: seconds}, &response); err != nil {
		return 0, withCode(err)
	}
	if response.ID == 0 {
		return 0, code.PlatformUnavailable.New("grant lease: the response has no lease id")
	}
	return store.LeaseID(response.ID), nil
}

// KeepAlive renews the lease and returns the time it has left, or zero if it has
// expired. Renewing a lease twice does no harm, so KeepAlive tries every address.
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
		return 0, code.PlatformUnavailable.New("renew lease %d: the response has no result", id)
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and removes its keys. It returns nil if the lease has already
// expired.
//
// Errors carry code.PlatformUnavailable.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	err := c.write(ctx, pathRevoke, leaseRequest{ID: int64String(id)}, &struct{}{})
	if isNotFound(err) {
		return nil
	}
	return withCode(err)
}
