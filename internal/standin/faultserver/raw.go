package faultserver

import (
	"io"
	"net"
)

// maxRequestBytes holds a whole request to a server of ServeRaw.
const maxRequestBytes = 4096

// ServeRaw starts a server that answers one request on each connection with the bytes, whether or not they are a
// response, and closes the connection. Closing the listener stops the server.
func ServeRaw(response string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(conn, response)
		}
	}()
	return l, nil
}

func answerRaw(conn net.Conn, response string) {
	defer conn.Close() //nolint:errcheck // the client has the response or has left
	if _, err := conn.Read(make([]byte, maxRequestBytes)); err == nil {
		_, _ = io.WriteString(conn, response)
	}
}
