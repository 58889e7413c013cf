package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/http1"
)

// Watch calls emit with the changes below the prefix after the revision, in order, and
// with the revision up to which they are complete. The first call, without changes,
// says that the watch is open.
//
// Watch returns nil when the context ends, or when an open watch has received no message
// for WatchIdle. In the latter case nothing has changed or the connection has stalled; a
// new watch from the last revision receives the missing changes in both cases. Watch
// returns an error if the watch was not opened within WatchIdle, the connection ended,
// or the platform cancelled the watch.
//
// Errors carry code.PlatformUnavailable.
func (c *Client) Watch(ctx context.Context, prefix store.Key, after unit.Revision, emit func([]store.Change, unit.Revision)) error {
	request := watchRequest{watchCreate{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		StartRevision:  int64String(after + 1),
		ProgressNotify: true,
	}}
	index := int(c.preferred.Load())
	h := c.hosts[index]
	err := c.runWatch(ctx, h, request, after, emit)
	if ctx.Err() != nil || err == nil {
		return nil
	}
	// The next watch tries another address.
	c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.hosts)))
	return code.PlatformUnavailable.Wrap(err, "watch %s at %s", prefix, h.address)
}

// runWatch runs one watch. A separate goroutine reads the messages, so that runWatch
// can react to WatchIdle and the end of the context while a read blocks.
func (c *Client) runWatch(ctx context.Context, h *host, request watchRequest, completeUpTo unit.Revision, emit func([]store.Change, unit.Revision)) error {
	s := &watchStream{messages: make(chan *watchResult), done: make(chan struct{})}
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		s.err = s.run(h, request, int64(c.options.MaxResponse))
		close(s.messages)
	}()
	defer reader.Wait()
	defer s.close()

	idleTimer := c.options.Clock.NewTimer(c.options.WatchIdle)
	defer idleTimer.Stop()
	created := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idleTimer.Chan():
			if !created {
				return fmt.Errorf("watch not opened within %s", c.options.WatchIdle)
			}
			return nil
		case message, open := <-s.messages:
			if !open {
				return s.err
			}
			if message.Canceled {
				return fmt.Errorf("watch cancelled by the platform: %s (compacted to %d)", message.CancelReason, message.CompactRevision)
			}
			created = true
			idleTimer.Reset(c.options.WatchIdle)
			c.observeRevision(message.Header.Revision)
			completeUpTo = max(completeUpTo, message.completeUpTo())
			emit(message.changes(), completeUpTo)
		}
	}
}

// watchStream is one open watch. It has its own connection.
type watchStream struct {
	messages chan *watchResult
	done     chan struct{}
	// err says why the stream ended. It is set before messages is closed.
	err error

	mu   sync.Mutex
	conn net.Conn
}

// close closes the connection, so that a blocked read returns.
func (s *watchStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.done)
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

func (s *watchStream) setConn(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		_ = conn.Close()
		return net.ErrClosed
	default:
		s.conn = conn
		return nil
	}
}

func (s *watchStream) run(h *host, request watchRequest, maxBytes int64) error {
	client := &fasthttp.HostClient{
		Addr:               h.address,
		IsTLS:              h.tls,
		MaxConns:           1,
		StreamResponseBody: true,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := h.dial(address)
			if err != nil {
				return nil, err
			}
			return conn, s.setConn(conn)
		},
	}
	http1.CheckResponses(client)
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := h.fillRequest(req, pathWatch, request); err != nil {
		return err
	}
	req.SetConnectionClose()
	if err := client.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return newStatusError(resp.StatusCode(), nil)
	}
	return s.decode(resp.BodyStream(), maxBytes)
}

func (s *watchStream) decode(body io.Reader, maxBytes int64) error {
	limited := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxBytes
		var m watchMessage
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("watch stream ended: %w", err)
		}
		if m.Error != nil {
			return errors.New(m.Error.Message)
		}
		if m.Result == nil {
			return errors.New("watch message has neither a result nor an error")
		}
		select {
		case s.messages <- m.Result:
		case <-s.done:
			return net.ErrClosed
		}
	}
}
