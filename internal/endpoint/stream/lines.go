package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"cuminbay/internal/kernel/budget"
)

// Limits of what is held of one answer. A faulty engine may send bytes without end. The memory of all
// answers together has a limit of its own, budget.Replies.
const (
	maxReplyBytes = 16 << 20
	maxEventBytes = 1 << 20
)

// lineReader reads lines, whose memory is reserved if they are long.
type lineReader struct {
	reader *bufio.Reader
	memory *budget.Reply
	long   []byte
}

func newLineReader(body io.Reader, memory *budget.Reply) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(body, readBufferBytes), memory: memory}
}

// next returns the next line without its end, which is valid until the next call. With an error, it
// returns the incomplete last line.
//
// The error is io.EOF at the end, budget.ErrTooLarge, budget.ErrRepliesFull or an error of the body.
func (l *lineReader) next() ([]byte, error) {
	part, err := l.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return trimLineEnd(part), err
	}
	l.long = l.long[:0]
	for {
		if len(l.long)+len(part) > maxEventBytes {
			return nil, budget.ErrTooLarge
		}
		if growErr := l.grow(len(l.long) + len(part)); growErr != nil {
			return nil, growErr
		}
		l.long = append(l.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return trimLineEnd(l.long), err
		}
		part, err = l.reader.ReadSlice('\n')
	}
}

// grow makes the buffer of long lines have at least the size.
func (l *lineReader) grow(size int) error {
	if size <= cap(l.long) {
		return nil
	}
	larger, err := budget.GrowBuffer(l.memory, l.long, max(size, 2*cap(l.long)))
	if err == nil {
		l.long = larger
	}
	return err
}

// trimLineEnd removes the end of a line.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
