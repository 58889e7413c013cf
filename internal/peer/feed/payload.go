package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// The body of an answer is the age of the copy in milliseconds, in ageBytes bytes, and the
// payload. The age is not part of the payload, so that one payload serves several
// followers.
const ageBytes = 8

// minCompressedBytes is the size from which a payload is compressed. The configuration of
// a large fleet has hundreds of kilobytes, and the daemons' links are slow.
const minCompressedBytes = 4 << 10

// maxPayloadBytes bounds a decompressed payload.
const maxPayloadBytes = 64 << 20

// gzipMagic begins each compressed payload; JSON never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// encodePayload encodes the response, compressed if it is large.
func encodePayload(r *copyResponse) ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil || len(raw) < minCompressedBytes {
		return raw, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// appendAge returns the body of an answer with the payload.
func appendAge(payload []byte, age time.Duration) []byte {
	body := make([]byte, 0, ageBytes+len(payload))
	body = binary.BigEndian.AppendUint64(body, uint64(age.Milliseconds()))
	return append(body, payload...)
}

// decodeAnswer decodes the body of an answer.
func decodeAnswer(body []byte) (*copyResponse, time.Duration, error) {
	if len(body) < ageBytes {
		return nil, 0, fmt.Errorf("got %d bytes, expected at least %d", len(body), ageBytes)
	}
	age := time.Duration(binary.BigEndian.Uint64(body)) * time.Millisecond
	payload := body[ageBytes:]
	if bytes.HasPrefix(payload, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(payload))
		if err != nil {
			return nil, 0, err
		}
		if payload, err = io.ReadAll(io.LimitReader(r, maxPayloadBytes)); err != nil {
			return nil, 0, err
		}
	}
	response := new(copyResponse)
	if err := json.Unmarshal(payload, response); err != nil {
		return nil, 0, err
	}
	return response, age, nil
}
