package budget

import (
	"io"

	"cuminbay/internal/domain/unit"
)

// reservation holds the bytes that are reserved for a request or a reply.
type reservation interface {
	// Reserve reserves bytes. The error is ErrNoRoom, or ErrRepliesFull for a reply.
	Reserve(n unit.Bytes) error
	Release(n unit.Bytes)
}

// The sizes of the first buffer for a body of an announced and of an unknown length.
const (
	firstFixedBytes   = 64 << 10
	firstChunkedBytes = 4 << 10
)

// ReadBody reads a body of at most limit bytes, whose announced length is negative if it is not known.
// The stream may have more bytes than an announced length. The buffer is reserved before it is
// allocated and is doubled as bytes arrive, so that a caller can't reserve memory by announcing a body.
//
// The error is ErrNoRoom, ErrTooLarge, io.ErrUnexpectedEOF if bytes are missing, or an error of the
// stream.
func ReadBody(r reservation, stream io.Reader, length, limit int) ([]byte, error) {
	// One byte above the limit shows that a body is too large.
	first, largest := firstChunkedBytes, limit+1
	if length >= 0 {
		first, largest = firstFixedBytes, length
		stream = io.LimitReader(stream, int64(length))
	}
	body, err := readBuffer(r, stream, first, largest, limit)
	if err == nil && len(body) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}

// readBuffer reads a stream into a buffer of the first size, which is doubled up to the largest one as it
// fills. A stream of more than limit bytes is too large.
func readBuffer(r reservation, stream io.Reader, first, largest, limit int) ([]byte, error) {
	var body []byte
	for {
		if len(body) > limit {
			return nil, ErrTooLarge
		}
		if len(body) == cap(body) && len(body) < largest {
			larger, err := GrowBuffer(r, body, min(largest, max(2*cap(body), first)))
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// GrowBuffer returns the bytes in a larger buffer, whose size is exactly what is reserved then.
func GrowBuffer(r reservation, buffer []byte, size int) ([]byte, error) {
	if err := r.Reserve(unit.Bytes(size)); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	r.Release(unit.Bytes(cap(buffer)))
	return larger, nil
}
