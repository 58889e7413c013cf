package faultserver

import "bytes"

// ReplaceStatusLine makes the next response on the connection begin with the bytes instead of its status line.
// They may be invalid, and have further lines.
func (c *Conn) ReplaceStatusLine(start string) {
	c.headStart.Store(&start)
}

// Write writes a response.
func (c *Conn) Write(p []byte) (int, error) {
	start := c.headStart.Swap(nil)
	if start == nil {
		return c.Conn.Write(p)
	}
	statusLine, rest, _ := bytes.Cut(p, []byte("\n"))
	if _, err := c.Conn.Write(append([]byte(*start), rest...)); err != nil {
		return 0, err
	}
	return len(statusLine) + 1 + len(rest), nil
}
