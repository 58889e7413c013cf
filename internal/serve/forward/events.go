package forward

import (
	"bytes"
	"strconv"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
)

// eventBuffer splits the bytes of a stream into events. It checks that the event ids
// ascend by one, also across the runs of a resumed stream.
type eventBuffer struct {
	// lastID is the id of the last event that was forwarded.
	lastID proxy.EventID
	// hasLastID says that lastID is set, because an event with an id was
	// forwarded or because the caller has named the last event that it received.
	hasLastID bool
	// count is the number of events with content. isWhole says that they are of one attempt that
	// began the answer.
	count   int
	isWhole bool
	// unforwarded has the bytes that were read and not forwarded.
	unforwarded []byte
}

// completeEvents returns the bytes of the complete events in the buffer, without
// events that the caller already has. The caller of completeEvents forwards them and
// then calls discardForwarded.
//
// Errors carry code.ForeignAnswer if an event is missing, or if there is other text among
// numbered events, such as an error or the head of another answer.
func (ev *eventBuffer) completeEvents() ([]byte, error) {
	length := 0
	for {
		n := eventLength(ev.unforwarded[length:])
		if n == 0 {
			return ev.unforwarded[:length], nil
		}
		id, numbered := eventID(ev.unforwarded[length : length+n])
		switch {
		case !numbered && ev.hasLastID && !isComment(ev.unforwarded[length:length+n]):
			return ev.unforwarded[:length], code.ForeignAnswer.New("read stream: got text without an event id after event %d", ev.lastID)
		case !numbered && isComment(ev.unforwarded[length:length+n]):
		case !numbered:
			ev.count++
		case ev.hasLastID && id <= ev.lastID:
			// The caller already has this event.
			ev.unforwarded = append(ev.unforwarded[:length], ev.unforwarded[length+n:]...)
			continue
		case ev.hasLastID && id != ev.lastID+1:
			return ev.unforwarded[:length], code.ForeignAnswer.New("read stream: got event %d after event %d, expected the next id", id, ev.lastID)
		default:
			ev.lastID, ev.hasLastID = id, true
			ev.count++
		}
		length += n
	}
}

// discardForwarded removes the first n bytes after they were forwarded.
func (ev *eventBuffer) discardForwarded(n int) {
	ev.unforwarded = append(ev.unforwarded[:0], ev.unforwarded[n:]...)
}

// dropIncomplete removes the incomplete event that an interrupted run left in the
// buffer.
func (ev *eventBuffer) dropIncomplete() {
	ev.unforwarded = ev.unforwarded[:0]
}

// eventLength returns the length of the first event including the empty line that
// ends it, or zero if the event is incomplete.
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

// eventID returns the number in the event's id field. It reports false if there is no
// such number.
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

// isComment reports whether the event has no content for the caller: only comments, which
// servers send to keep a connection open, or the time after which to reconnect.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}
