package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"
)

const bufferBytes = 512

// TestReadResponseHead guards against a head that is parsed although it is malformed, and against one that is refused
// although it is not.
func TestReadResponseHead(t *testing.T) {
	const end = "Content-Length: 1\r\n\r\na"
	tests := map[string]struct {
		raw        string
		wantStatus int
		// wantErr is the error if the head must not be parsed.
		wantErr error
	}{
		"response":                       {raw: "HTTP/1.1 200 OK\r\n" + end, wantStatus: 200},
		"no reason":                      {raw: "HTTP/1.1 200\r\n" + end, wantStatus: 200},
		"lowest status":                  {raw: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\n" + end, wantStatus: 200},
		"highest status":                 {raw: "HTTP/1.1 599 X\r\n" + end, wantStatus: 599},
		"unknown status":                 {raw: "HTTP/1.1 299 X\r\n" + end, wantStatus: 299},
		"HTTP/1.0":                       {raw: "HTTP/1.0 200 OK\r\n" + end, wantStatus: 200},
		"line feeds":                     {raw: "HTTP/1.1 200 OK\nA: b\n" + end, wantStatus: 200},
		"blank line before":              {raw: "\r\nHTTP/1.1 200 OK\r\n" + end, wantStatus: 200},
		"interim responses":              {raw: strings.Repeat("HTTP/1.1 103 X\r\nA: b\r\n\r\n", 8) + "HTTP/1.1 200 OK\r\n" + end, wantStatus: 200},
		"protocol switch":                {raw: "HTTP/1.1 101 X\r\n\r\n", wantStatus: 101},
		"head of the size of the buffer": {raw: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", bufferBytes-24) + "\r\n\r\n", wantStatus: 200},
		"head over the buffer":           {raw: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", bufferBytes-23) + "\r\n\r\n", wantErr: bufio.ErrBufferFull},
		"too many interim responses":     {raw: strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 9) + "HTTP/1.1 200 OK\r\n" + end, wantErr: errInterimResponses},
		"no bytes":                       {wantErr: io.EOF},
		"truncated":                      {raw: "HTTP/1.1 200 OK\r\nA: b\r\n", wantErr: io.EOF},
		"status 000":                     {raw: "HTTP/1.1 000 X\r\n" + end, wantErr: ErrMalformedHead},
		"status 099":                     {raw: "HTTP/1.1 099 X\r\n" + end, wantErr: ErrMalformedHead},
		"status 600":                     {raw: "HTTP/1.1 600 X\r\n" + end, wantErr: ErrMalformedHead},
		"status without an end":          {raw: "HTTP/1.1 000 X\r\n", wantErr: ErrMalformedHead},
		"status after an interim one":    {raw: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\n" + end, wantErr: ErrMalformedHead},
		"name with a blank":              {raw: "HTTP/1.1 200 OK\r\nA B: c\r\n" + end, wantErr: ErrMalformedHead},
		"name with a blank, no end":      {raw: "HTTP/1.1 200 OK\r\nA B: c\r\n", wantErr: ErrMalformedHead},
		"name with a blank, interim":     {raw: "HTTP/1.1 103 X\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n" + end, wantErr: ErrMalformedHead},
		"name with a control byte":       {raw: "HTTP/1.1 200 OK\r\nA\x01B: c\r\n" + end, wantErr: ErrMalformedHead},
		"blank before the colon":         {raw: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\na", wantErr: ErrMalformedHead},
		"no name":                        {raw: "HTTP/1.1 200 OK\r\n: c\r\n" + end, wantErr: ErrMalformedHead},
		"no colon":                       {raw: "HTTP/1.1 200 OK\r\nA b\r\n" + end, wantErr: ErrMalformedHead},
		"blank in a value":               {raw: "HTTP/1.1 200 OK\r\nA: b : c\r\n" + end, wantStatus: 200},
		"continued value":                {raw: "HTTP/1.1 200 OK\r\nA: b\r\n c d: e\r\n" + end, wantStatus: 200},
		"all bytes of a name":            {raw: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: c\r\n" + end, wantStatus: 200},
		"no status":                      {raw: "HTTP/1.1\r\n" + end, wantErr: ErrMalformedHead},
		"other protocol":                 {raw: "nonsense\r\n", wantErr: ErrMalformedHead},
	}
	for name, test := range tests {
		readers := map[string]io.Reader{"at once": strings.NewReader(test.raw), "in pieces": iotest.OneByteReader(strings.NewReader(test.raw))}
		for readerName, reader := range readers {
			t.Run(name+", "+readerName, func(t *testing.T) {
				c := qt.New(t)
				var h fasthttp.ResponseHeader
				err := ReadResponseHead(bufio.NewReaderSize(reader, bufferBytes), &h)
				c.Assert(err, qt.ErrorIs, test.wantErr)
				if test.wantErr == nil {
					c.Check(h.StatusCode(), qt.Equals, test.wantStatus)
				}
			})
		}
	}
}

// checkAgainstParser compares a response with what fasthttp alone makes of the bytes: what is accepted is the
// same response, with the same bytes after its head.
func checkAgainstParser(t interface{ Fatalf(string, ...any) }, raw string, pieces bool) {
	var source, reference io.Reader = strings.NewReader(raw), strings.NewReader(raw)
	if pieces {
		source, reference = iotest.OneByteReader(source), iotest.OneByteReader(reference)
	}
	got, want := new(fasthttp.ResponseHeader), new(fasthttp.ResponseHeader)
	reader, referenceReader := bufio.NewReaderSize(source, bufferBytes), bufio.NewReaderSize(reference, bufferBytes)
	if ReadResponseHead(reader, got) != nil {
		return
	}
	for isInterim := true; isInterim; {
		if err := want.Read(referenceReader); err != nil {
			t.Fatalf("accepted, but the parser's error is %v\n%q", err, raw)
		}
		status := want.StatusCode()
		isInterim = status < http.StatusOK && status != http.StatusSwitchingProtocols
	}
	rest, _ := io.ReadAll(reader)
	wantRest, _ := io.ReadAll(referenceReader)
	if got.String() != want.String() || string(rest) != string(wantRest) {
		t.Fatalf("got %q and %q, want %q and %q\n%q", got, rest, want, wantRest, raw)
	}
	if got.StatusCode() > maxStatus {
		t.Fatalf("accepted status %d\n%q", got.StatusCode(), raw)
	}
	for name := range got.All() {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			t.Fatalf("accepted field name %q\n%q", name, raw)
		}
	}
}

// TestSameAsParser guards against a head whose end is found elsewhere than by the parser, so that part of it
// isn't checked.
func TestSameAsParser(t *testing.T) {
	line := rapid.SampledFrom([]string{
		"HTTP/1.1 200 OK", "HTTP/1.1  204 X", "HTTP/1.1 100 X", "HTTP/1.1 101 X", "HTTP/1.0 599", "HTTP/1.1 000 X", "HTTP/1.1 600 X", "HTTP/1.1 2000",
		"A: b", "A B: c", "A : b", " folded", "\tfolded", " ", "noColon", ": c", "A:", "A: b\rC: d", "Content-Length: 1", "Transfer-Encoding: chunked", "", "", "",
	})
	lineEnd := rapid.SampledFrom([]string{"\r\n", "\r\n", "\r\n", "\n", "\r\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		var raw strings.Builder
		raw.WriteString(rapid.SampledFrom([]string{"", "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 X\r\n"}).Draw(t, "start"))
		for range rapid.IntRange(0, 12).Draw(t, "lines") {
			raw.WriteString(line.Draw(t, "line") + lineEnd.Draw(t, "line end"))
		}
		raw.WriteString(rapid.SampledFrom([]string{"", "\r\n\r\n", "abc"}).Draw(t, "end"))
		checkAgainstParser(t, raw.String(), rapid.Bool().Draw(t, "pieces"))
	})
}

// FuzzSameAsParser is the fuzz target of TestSameAsParser's check.
func FuzzSameAsParser(f *testing.F) {
	f.Add("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\nabc", false)
	f.Add("\r\n\nHTTP/1.1 200\nA: b\n\r\n\r\n", true)
	f.Fuzz(func(t *testing.T, raw string, pieces bool) { checkAgainstParser(t, raw, pieces) })
}

// BenchmarkCheck measures the check of a head without its parsing.
func BenchmarkCheck(b *testing.B) {
	raw := "HTTP/1.1 200 OK\r\n" + strings.Repeat("Server-Field: value of it\r\n", 10) + "\r\n"
	source := strings.NewReader(raw)
	reader := bufio.NewReaderSize(source, 2*len(raw))
	var h fasthttp.ResponseHeader
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(raw)
		reader.Reset(source)
		if err := skipInterim(reader, &h); err != nil {
			b.Fatal(err)
		}
	}
}
