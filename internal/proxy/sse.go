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

// eventReader reads server-sent events. Only their data is of interest.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	return &eventReader{lines: scanner}
}

// next returns the data of the next event. An event that is cut off before its
// blank line gives io.ErrUnexpectedEOF, the end between events io.EOF.
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
		return nil, errors.Wrap(err, "read a stream")
	}
	if found {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, io.EOF
}
