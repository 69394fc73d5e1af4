package proxy

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/bytebudget"
)

// maxEventBytes bounds an event of a stream of server-sent events.
const maxEventBytes = 1 << 20

var (
	dataField        = []byte("data:")
	errEventTooLarge = errors.Errorf("an event is larger than %d bytes", maxEventBytes)
)

// eventReader reads the data of server-sent events. It ignores other fields.
type eventReader struct {
	source *bufio.Reader
	memory *bytebudget.Share
	// line is the present line, data the data of the present event.
	line, data []byte
}

// newEventReader returns a reader that draws the memory for large events from the share.
func newEventReader(r io.Reader, memory *bytebudget.Share) *eventReader {
	return &eventReader{source: bufio.NewReader(r), memory: memory}
}

// next returns the data of the next event, which is valid until the next call. It returns
// io.ErrUnexpectedEOF if the stream ends within an event and io.EOF if it ends between events.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	found := false
	for {
		err := e.readLine()
		if errors.Is(err, io.EOF) && found {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(e.line) == 0 && found {
			return e.data, nil
		}
		value, isData := bytes.CutPrefix(e.line, dataField)
		if !isData {
			continue
		}
		if found {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
}

// readLine reads a line without its end. The last line of the stream needs no end.
func (e *eventReader) readLine() error {
	e.line = e.line[:0]
	for {
		part, err := e.source.ReadSlice('\n')
		size := len(e.data) + len(e.line) + len(part)
		if size > maxEventBytes {
			return errEventTooLarge
		}
		if !e.memory.Resize(size) {
			return errNoAnswerMemory
		}
		e.line = append(e.line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.line) > 0:
		case err != nil:
			return err
		}
		e.line = bytes.TrimSuffix(bytes.TrimSuffix(e.line, []byte("\n")), []byte("\r"))
		return nil
	}
}
