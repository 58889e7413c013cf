package stream

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/kernel/clock"
)

// failingConn is a connection whose writes return the error.
type failingConn struct {
	net.Conn
	err error
}

func (failingConn) SetWriteDeadline(time.Time) error { return nil }

func (f failingConn) Write([]byte) (int, error) { return 0, f.err }

// TestResetError guards against an error of the connection that only the write has got and that is dropped, and
// against errors of the write that say nothing of the answer and fail it.
func TestResetError(t *testing.T) {
	writeError := func(err error) error {
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	tests := map[string]struct {
		err     error
		wantErr bool
	}{
		"request written":            {},
		"endpoint reads nothing":     {err: &net.OpError{Op: "write", Net: "tcp", Err: os.ErrDeadlineExceeded}},
		"reset after the end":        {err: writeError(syscall.EPIPE)},
		"reset":                      {err: writeError(syscall.ECONNRESET), wantErr: true},
		"no acknowledgement":         {err: writeError(syscall.ETIMEDOUT), wantErr: true},
		"host unreachable":           {err: writeError(syscall.EHOSTUNREACH), wantErr: true},
		"closed, as the caller left": {err: net.ErrClosed, wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			u, err := startUpload(&conn{Conn: failingConn{err: test.err}, clock: clock.Real()}, []byte("request"))
			c.Assert(err, qt.IsNil)
			err = u.resetError()
			c.Check(err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
			if test.wantErr {
				c.Check(err, qt.ErrorIs, test.err)
			}
			c.Check(u.isComplete(), qt.Equals, test.err == nil)
		})
	}
}
