package stream

import (
	"bytes"
	"context"
	"testing"
	"testing/iotest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// recordingSink records the answer.
type recordingSink struct {
	text string
	ends int
}

func (s *recordingSink) Start(work.Head) error { return nil }
func (s *recordingSink) End(work.End) error    { s.ends++; return nil }
func (s *recordingSink) Chunk(chunk work.Chunk) error {
	s.text += chunk.Text + string(chunk.Raw)
	return nil
}

// FuzzEvents guards against reporting a stream as complete without the end
// marker, and against a result that depends on how the bytes were split.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "data: [DONE]", "data: " + `{"choices":[{"text":"a"}]}` + "\n\ndata: [DONE]\n\n", "data: {\"error\":null}\n", "data:\n", "event: x\r\ndata: {}\r\n", "data: {\"usage\":{\"prompt_tokens\":-1}}\n[DONE]"} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	e := &table.Endpoint{ID: "r"}
	f.Fuzz(func(t *testing.T, raw []byte, resumable bool) {
		r := &work.Request{Stream: true, Resumable: resumable}
		whole, split := new(recordingSink), new(recordingSink)
		err := (&Reader{Endpoint: e, Request: r, Sink: whole}).readEvents(context.Background(), bytes.NewReader(raw))
		splitErr := (&Reader{Endpoint: e, Request: r, Sink: split}).readEvents(context.Background(), iotest.OneByteReader(bytes.NewReader(raw)))
		if code.Of(err) != code.Of(splitErr) || *whole != *split {
			t.Fatalf("read at once: %v %+v, read byte by byte: %v %+v", err, whole, splitErr, split)
		}
		if (err == nil) != (whole.ends == 1) || err == nil && !bytes.Contains(raw, doneMarker) {
			t.Fatalf("End was called %d times with the error %v", whole.ends, err)
		}
		if err != nil && code.Of(err) != code.CutOff {
			t.Fatalf("unexpected error %v", err)
		}
	})
}
