package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/rs/zerolog"
)

// keyValueWriter rewrites the logger's lines, which are JSON objects, as key=value pairs:
// time, level and event first, then the other fields in the order in which they were
// added. It makes no copy of a line's fields, since each daemon writes a line for each
// request and each change of a server.
type keyValueWriter struct {
	out io.Writer
}

// field is a key and its value, both as they stand in the JSON line.
type field struct {
	key, value []byte
}

// maxFields is the number of fields for which a line needs no allocation.
const maxFields = 32

// leadingFields are the keys of the fields that come first, and the names under which they
// are written.
var leadingFields = [...]struct{ key, name string }{
	{zerolog.TimestampFieldName, "time"}, {zerolog.LevelFieldName, "level"}, {zerolog.MessageFieldName, "event"},
}

// Write writes one line. A line that is not a flat JSON object is written unchanged.
func (w *keyValueWriter) Write(line []byte) (int, error) {
	var buffer [maxFields]field
	fields, err := splitFields(buffer[:0], line)
	if err != nil {
		return w.out.Write(line)
	}
	text := make([]byte, 0, len(line)+len(leadingFields))
	for _, leading := range leadingFields {
		for _, f := range fields {
			if string(f.key) == leading.key {
				text = appendPair(text, leading.name, f.value)
			}
		}
	}
	for _, f := range fields {
		if !isLeading(f.key) {
			text = appendPair(text, string(f.key), f.value)
		}
	}
	text = append(text, '\n')
	if _, err := w.out.Write(text); err != nil {
		return 0, err
	}
	return len(line), nil
}

func isLeading(key []byte) bool {
	for _, leading := range leadingFields {
		if string(key) == leading.key {
			return true
		}
	}
	return false
}

func appendPair(text []byte, name string, value []byte) []byte {
	if len(text) > 0 {
		text = append(text, ' ')
	}
	text = append(append(text, name...), '=')
	if value[0] != '"' {
		return append(text, value...)
	}
	content := value[1 : len(value)-1]
	if len(content) > 0 && bytes.IndexFunc(content, needsQuotes) < 0 {
		return append(text, content...)
	}
	var decoded string
	if json.Unmarshal(value, &decoded) != nil {
		return append(text, value...)
	}
	return strconv.AppendQuote(text, decoded)
}

// needsQuotes reports whether a value with the rune must be quoted, so that the line stays
// a sequence of key=value pairs.
func needsQuotes(r rune) bool {
	return r <= ' ' || r == '=' || r == '"' || r == '\\' || r > '~'
}

var errNotFlat = errors.New("logging: the line is not a JSON object")

// splitFields appends the fields of a JSON object in one line.
func splitFields(fields []field, line []byte) ([]field, error) {
	line = bytes.TrimSpace(line)
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return nil, errNotFlat
	}
	for rest := line[1 : len(line)-1]; len(rest) > 0; {
		key := valueLength(rest)
		if key < 2 || rest[0] != '"' || key >= len(rest)-1 || rest[key] != ':' {
			return nil, errNotFlat
		}
		f := field{key: rest[1 : key-1]}
		rest = rest[key+1:]
		end := valueLength(rest)
		if end == 0 || end < len(rest) && rest[end] != ',' {
			return nil, errNotFlat
		}
		f.value, rest = rest[:end], rest[min(end+1, len(rest)):]
		fields = append(fields, f)
	}
	return fields, nil
}

// valueLength returns the length of the JSON value at the start of the text: up to the
// comma or colon that follows outside of strings, arrays and objects.
func valueLength(text []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case depth == 0 && (c == ',' || c == ':'):
			return i
		}
	}
	return len(text)
}
