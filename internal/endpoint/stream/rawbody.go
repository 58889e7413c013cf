package stream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
)

// skipBody reads the body of an answer to another request.
func (r *RawResponse) skipBody() error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxForeignBytes))
	r.bodyRead = false
	if err == nil && n == maxForeignBytes {
		return errForeignBytes
	}
	return err
}

// framing says what marks the end of a body.
type framing int

const (
	noBody framing = iota
	// knownLength says that the field Content-Length has the length.
	knownLength
	chunked
	// untilClose says that the end of the connection is the end of the body.
	untilClose
)

// bodyReader returns the reader of the body, and its framing.
func (r *RawResponse) bodyReader(request *RawRequest) (io.Reader, framing) {
	const chunkedLength = -1 // fasthttp's length of a chunked body
	status := r.Header.StatusCode()
	if request.ExpectNoBody || status == http.StatusNoContent || status == http.StatusNotModified {
		return http.NoBody, noBody
	}
	switch length := r.Header.ContentLength(); {
	case length == 0:
		return http.NoBody, noBody
	case length > 0:
		return &lengthReader{reader: r.conn.reader, remaining: length}, knownLength
	case length == chunkedLength:
		return httputil.NewChunkedReader(r.conn.reader), chunked
	default:
		r.Header.SetConnectionClose()
		return r.conn.reader, untilClose
	}
}

// lengthReader reads a body of known length.
type lengthReader struct {
	reader    io.Reader
	remaining int
}

// Read returns io.EOF only after the whole body.
func (l *lengthReader) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	if errors.Is(err, io.EOF) && l.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read reads the body of the answer. It returns io.EOF only at the end of a
// complete body. A body without a length is complete if the connection was not
// reset.
func (r *RawResponse) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, r.conn.withDeadlineError(err)
	}
	if endErr := r.checkEnd(); endErr != nil {
		return n, endErr
	}
	r.bodyRead = true
	return n, io.EOF
}

// checkEnd returns an error if the answer is not complete although its body has ended.
func (r *RawResponse) checkEnd() error {
	switch {
	case r.bodyRead:
		return nil
	case r.framing == chunked:
		return r.skipTrailer()
	case r.framing == untilClose && r.upload != nil:
		return r.upload.resetError()
	}
	return nil
}

// skipTrailer reads the trailer fields after the last chunk.
func (r *RawResponse) skipTrailer() error {
	for remaining := maxTrailerBytes; remaining > 0; {
		line, err := r.conn.reader.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return r.conn.withDeadlineError(err)
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			return nil
		}
		remaining -= len(line)
	}
	return errTrailerBytes
}

// ContentLength returns the length that the header announces, or -1 if the
// length is unknown.
func (r *RawResponse) ContentLength() int {
	if r.framing == noBody {
		return 0
	}
	return max(r.Header.ContentLength(), -1)
}
