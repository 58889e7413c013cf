package load

import (
	"errors"
	"net"
)

type netConn = net.Conn

// isDialError reports whether the connection could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
