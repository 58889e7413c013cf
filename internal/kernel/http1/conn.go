package http1

import (
	"bufio"
	"crypto/tls"
	"net"

	"github.com/valyala/fasthttp"
)

// CheckResponses makes the client check the head of each response before it parses it. The client must not have
// been used before.
func CheckResponses(client *fasthttp.HostClient) {
	dial := client.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	client.Dial = func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		if client.IsTLS {
			return newTLSConn(conn, client.TLSConfig, address), nil
		}
		return newResponseConn(conn), nil
	}
}

// ConfigureClient is CheckResponses as a value of fasthttp.Client.ConfigureClient. It returns nil.
func ConfigureClient(client *fasthttp.HostClient) error {
	CheckResponses(client)
	return nil
}

// tlsConn is a responseConn with TLS. By Handshake the client knows that it must not add TLS itself.
type tlsConn struct {
	*responseConn
	client *tls.Conn
}

func newTLSConn(conn net.Conn, config *tls.Config, address string) *tlsConn {
	if config == nil {
		config = new(tls.Config)
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	client := tls.Client(conn, config)
	return &tlsConn{responseConn: newResponseConn(client), client: client}
}

// Handshake runs the TLS handshake. Otherwise it runs with the first write.
func (c *tlsConn) Handshake() error {
	return c.client.Handshake()
}

// responseConn is a client's connection that checks the heads of responses before the client reads them. The
// client sends a request only after the response to the one before.
type responseConn struct {
	net.Conn
	reader *bufio.Reader
	// expectsHead says that a head follows the bytes that were read.
	expectsHead bool
	// headLeft is the number of bytes of a checked head that are still to be read.
	headLeft int
	// headErr says why a head couldn't be read, which ends all reads.
	headErr error
}

func newResponseConn(conn net.Conn) *responseConn {
	return &responseConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// Write writes a request. Bytes that arrived after the response to the one before belong to no request.
func (c *responseConn) Write(p []byte) (int, error) {
	_, _ = c.reader.Discard(c.reader.Buffered())
	c.expectsHead, c.headLeft = true, 0
	return c.Conn.Write(p)
}

// Read reads a response, up to the end of its head at first. The error is ErrMalformedHead for a malformed head.
func (c *responseConn) Read(p []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.headLeft == 0 && c.expectsHead {
		if c.headErr = c.bufferHead(); c.headErr != nil {
			// fasthttp takes any error before the first byte for the end of the connection.
			return c.reader.Read(p[:min(len(p), 1)])
		}
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.reader.Read(p)
	c.headLeft = max(c.headLeft-n, 0)
	return n, err
}

// bufferHead waits for the whole head of a response, which may be an interim one.
func (c *responseConn) bufferHead() error {
	s := headScanner{isResponse: true}
	head, err := s.buffer(c.reader)
	if err != nil {
		return err
	}
	c.headLeft = len(head)
	c.expectsHead = s.isInterim()
	return nil
}
