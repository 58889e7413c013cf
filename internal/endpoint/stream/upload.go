package stream

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"cuminbay/internal/kernel/clock"
)

// concurrentWriteBytes is the size above which a request is written while the
// answer is read. An endpoint may answer before it has read the whole body.
const concurrentWriteBytes = 8 << 10

// upload is the write of a long request, which goes on while the answer is read.
type upload struct {
	conn *conn
	// ended is closed when the write has ended, with err.
	ended chan struct{}
	err   error
}

// startUpload starts to write the request.
func startUpload(c *conn, data []byte) (*upload, error) {
	// The write doesn't set its deadline later, as it would replace that of resetError.
	if err := c.setWriteDeadline(); err != nil {
		return nil, err
	}
	u := &upload{conn: c, ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		_, u.err = c.Conn.Write(data)
	}()
	return u, nil
}

// isComplete reports whether the whole request has been written.
func (u *upload) isComplete() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// resetError ends the write. It returns the error with which the connection failed before the
// endpoint's FIN, if the write has received that error.
//
// The kernel reports the failure of a connection once, to the first read or write after it. If that
// was the write, reads return io.EOF afterwards, as they do after a FIN. A reset after a FIN is EPIPE.
func (u *upload) resetError() error {
	if err := u.conn.SetWriteDeadline(clock.Past); err != nil {
		return err
	}
	<-u.ended
	if u.err == nil || errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("connection failed while the request was being written: %w", u.err)
}
