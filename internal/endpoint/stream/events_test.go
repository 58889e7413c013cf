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

// recordingSink is a kept sink.
type recordingSink struct {
	text string
	ends int
}

func (a *recordingSink) Start(work.Head) error    { return nil }
func (a *recordingSink) End(work.End) error       { a.ends++; return nil }
func (a *recordingSink) Chunk(p work.Chunk) error { a.text += p.Text + string(p.Raw); return nil }

// FuzzEvents guards against bytes that end a stream as whole without the end
// marker, or in another way depending on how they were split.
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
		again := (&Reader{Endpoint: e, Request: r, Sink: split}).readEvents(context.Background(), iotest.OneByteReader(bytes.NewReader(raw)))
		if code.Of(err) != code.Of(again) || *whole != *split {
			t.Fatalf("whole: %v %+v, split: %v %+v", err, whole, again, split)
		}
		if (err == nil) != (whole.ends == 1) || err == nil && !bytes.Contains(raw, doneMarker) {
			t.Fatalf("ended %d times with %v", whole.ends, err)
		}
		if err != nil && code.Of(err) != code.CutOff {
			t.Fatalf("unexpected %v", err)
		}
	})
}
