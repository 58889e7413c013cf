package budget

import (
	"io"

	"cuminbay/internal/domain/unit"
)

// reservation holds the bytes that are reserved for a request.
type reservation interface {
	// Reserve reserves bytes of the request. The error is ErrNoRoom.
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
	var body []byte
	for {
		if len(body) > limit {
			return nil, ErrTooLarge
		}
		if len(body) == cap(body) && len(body) < largest {
			size := min(largest, max(2*cap(body), first))
			if err := r.Reserve(unit.Bytes(size)); err != nil {
				return nil, err
			}
			// The capacity is exactly what was reserved.
			larger := make([]byte, len(body), size)
			copy(larger, body)
			r.Release(unit.Bytes(cap(body)))
			body = larger
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
