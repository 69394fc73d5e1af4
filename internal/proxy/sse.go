package proxy

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one line of a stream of server-sent events.
const maxEventBytes = 1 << 20

var dataField = []byte("data:")

// eventReader reads the data of server-sent events. It ignores other fields.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	return &eventReader{lines: scanner}
}

// next returns the data of the next event. It returns io.ErrUnexpectedEOF if the
// stream ends within an event and io.EOF if it ends between events.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	found := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 && found {
			return data, nil
		}
		value, isData := bytes.CutPrefix(line, dataField)
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	if err := e.lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read the stream of server-sent events")
	}
	if found {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, io.EOF
}
