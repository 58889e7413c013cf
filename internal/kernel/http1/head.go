// Package http1 checks the heads of HTTP/1.1 messages before they are parsed. The parser of fasthttp accepts
// heads that RFC 9112 doesn't allow, and doesn't show that in what it has parsed.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead says that a message has a head that HTTP/1.1 doesn't allow.
var ErrMalformedHead = errors.New("malformed head")

// maxInterimResponses is the number of interim responses that may precede a response. A faulty server may send
// them without end.
const maxInterimResponses = 8

var errInterimResponses = fmt.Errorf("connection returned more than %d interim responses", maxInterimResponses)

// ReadResponseHead reads the head of a response, and interim responses before it. The reader's buffer bounds the
// size of a head.
//
// The error is ErrMalformedHead for a head that must not be parsed.
func ReadResponseHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := skipInterim(r, h); err != nil {
		return err
	}
	return h.Read(r)
}

// ReadResponse reads a response as fasthttp's ReadLimitBody does, with a body of at most bodyLimit bytes; zero
// means no limit.
//
// The error is ErrMalformedHead for a head that must not be parsed.
func ReadResponse(r *bufio.Reader, response *fasthttp.Response, bodyLimit int) error {
	if err := skipInterim(r, &response.Header); err != nil {
		return err
	}
	return response.ReadLimitBody(r, bodyLimit)
}

// skipInterim reads interim responses into the header, until the buffer begins with the head of the response. It
// leaves that head unread for the parser.
func skipInterim(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		s := headScanner{isResponse: true}
		_, err := s.buffer(r)
		if errors.Is(err, bufio.ErrBufferFull) {
			return fmt.Errorf("head of a response is over %d bytes: %w", r.Size(), err)
		}
		if err != nil {
			return err
		}
		if !s.isInterim() {
			return nil
		}
		if err := h.Read(r); err != nil {
			return err
		}
	}
	return errInterimResponses
}

// BufferRequestHead reads until the reader's buffer has the whole head of a request, and returns the head. If it
// fails, it returns the bytes read so far.
//
// The error is ErrMalformedHead for a head that must not be parsed. The request line is left to the parser.
func BufferRequestHead(r *bufio.Reader) ([]byte, error) {
	var s headScanner
	return s.buffer(r)
}

// headScanner checks the lines of a head as they arrive.
type headScanner struct {
	// isResponse says that the first line is a status line, which has the status.
	isResponse bool
	status     int
	// scanned is the number of bytes that were checked.
	scanned      int
	hasStartLine bool
	isComplete   bool
}

// buffer reads until the reader's buffer has the whole head, and returns the head. If it fails, it returns the
// bytes read so far.
func (s *headScanner) buffer(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		buffered, _ := r.Peek(r.Buffered())
		if err := s.scan(buffered); err != nil {
			return buffered, err
		}
		if s.isComplete {
			return buffered[:s.scanned], nil
		}
		if readErr != nil {
			return buffered, readErr
		}
	}
}

// scan checks the lines that have arrived since the last call, up to the end of the head.
func (s *headScanner) scan(buffered []byte) error {
	for !s.isComplete {
		length := bytes.IndexByte(buffered[s.scanned:], '\n')
		if length < 0 {
			return nil
		}
		line := buffered[s.scanned : s.scanned+length]
		s.scanned += length + 1
		if err := s.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) checkLine(line []byte) error {
	switch {
	case len(line) == 0:
		// A blank line before the start line doesn't end the head.
		s.isComplete = s.hasStartLine
	case !s.hasStartLine:
		s.hasStartLine = true
		return s.checkStartLine(line)
	default:
		return checkField(line)
	}
	return nil
}

// checkStartLine checks the version and the status of a response. The parser takes any three digits, and shows
// 000 as 200.
func (s *headScanner) checkStartLine(line []byte) error {
	if !s.isResponse {
		return nil
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if _, _, ok := http.ParseHTTPVersion(string(version)); !ok {
		return fmt.Errorf("%w: version %.10q", ErrMalformedHead, version)
	}
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(digits))
	if err != nil || status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %.10q, expected %d to %d", ErrMalformedHead, digits, minStatus, maxStatus)
	}
	s.status = status
	return nil
}

// The lowest and the highest status that a response may have (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// isInterim reports whether another response follows the one with the scanned head.
func (s *headScanner) isInterim() bool {
	return s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// checkField checks the name of a field. The parser accepts blanks in a name, and ignores those before the colon
// (RFC 9112, section 5.1), so that the field is forwarded or delimits the body although other parsers ignore it.
func checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		// The line continues the value of the field before it.
		return nil
	}
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	isInvalid := func(r rune) bool { return !httpguts.IsTokenRune(r) }
	if !hasColon || len(name) == 0 || bytes.ContainsFunc(name, isInvalid) {
		return fmt.Errorf("%w: field name %.40q", ErrMalformedHead, name)
	}
	return nil
}
