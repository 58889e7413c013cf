package forward

import (
	"bytes"
	"strconv"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
)

// events passes on the whole events of a stream and checks that their ids rise
// by one, over all runs that the stream is joined from.
type events struct {
	// last is the id of the last event that was passed on.
	last proxy.EventID
	// lastKnown says that an event with an id was passed on or is known to the
	// caller, so that the next id is known.
	lastKnown bool
	// buffer holds bytes that were read and not passed on.
	buffer []byte
}

// complete returns the bytes of the whole events in the buffer. The caller passes
// them on and then calls drop.
//
// Errors carry code.ForeignAnswer: an event is missing.
func (v *events) complete() ([]byte, error) {
	whole := 0
	for {
		n := eventLength(v.buffer[whole:])
		if n == 0 {
			return v.buffer[:whole], nil
		}
		id, numbered := eventID(v.buffer[whole : whole+n])
		switch {
		case !numbered:
		case v.lastKnown && id <= v.last:
			// A repeat of what the caller has.
			v.buffer = append(v.buffer[:whole], v.buffer[whole+n:]...)
			continue
		case v.lastKnown && id != v.last+1:
			return v.buffer[:whole], code.ForeignAnswer.New("event %d follows event %d", id, v.last)
		default:
			v.last, v.lastKnown = id, true
		}
		whole += n
	}
}

// discard removes the first n bytes, which were passed on.
func (v *events) discard(n int) {
	v.buffer = append(v.buffer[:0], v.buffer[n:]...)
}

// reset forgets the part of an event that a broken run left.
func (v *events) reset() {
	v.buffer = v.buffer[:0]
}

// eventLength returns the length of the first event with the empty line that
// ends it, or zero if it isn't whole.
func eventLength(b []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(b[start:], '\n')
		if i < 0 {
			return 0
		}
		line := b[start : start+i]
		start += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start
		}
	}
}

// eventID returns the number in the event's id field.
func eventID(event []byte) (proxy.EventID, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return proxy.EventID(id), err == nil
	}
	return 0, false
}
