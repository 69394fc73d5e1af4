package durable

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// Layout of a frame: magic, payload length, CRC-32C of the length and the payload,
// payload. Numbers are big-endian.
const (
	frameMagic          = "PWL1"
	frameLengthOffset   = len(frameMagic)
	frameChecksumOffset = frameLengthOffset + 4
	frameHeaderBytes    = frameChecksumOffset + 4
	maxPayloadBytes     = 1 << 30
)

var (
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
	errInvalidFrame = errors.New("frame is incomplete or damaged")
)

// AppendFrame appends a frame with the payload to buffer and returns the result.
func AppendFrame(buffer, payload []byte) []byte {
	buffer = append(buffer, frameHeader([][]byte{payload})...)
	return append(buffer, payload...)
}

// frameHeader returns the header of the frame whose payload consists of the parts.
func frameHeader(parts [][]byte) []byte {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	header := binary.BigEndian.AppendUint32([]byte(frameMagic), uint32(length))
	return binary.BigEndian.AppendUint32(header, frameChecksum(header, parts...))
}

// ReadFrame returns the payload of the frame at the start of raw, and the size of the
// frame in bytes. It returns an error unless the frame is complete and undamaged. The
// payload shares memory with raw.
func ReadFrame(raw []byte) (payload []byte, size int, err error) {
	if len(raw) < frameHeaderBytes || string(raw[:frameLengthOffset]) != frameMagic {
		return nil, 0, errInvalidFrame
	}
	length := int(binary.BigEndian.Uint32(raw[frameLengthOffset:]))
	if length > maxPayloadBytes || length > len(raw)-frameHeaderBytes {
		return nil, 0, errInvalidFrame
	}
	payload = raw[frameHeaderBytes : frameHeaderBytes+length]
	if binary.BigEndian.Uint32(raw[frameChecksumOffset:]) != frameChecksum(raw, payload) {
		return nil, 0, errInvalidFrame
	}
	return payload, frameHeaderBytes + length, nil
}

// ContainsFrame reports whether a complete, undamaged frame starts at any position of raw.
func ContainsFrame(raw []byte) bool {
	for {
		position := bytes.Index(raw, []byte(frameMagic))
		if position < 0 {
			return false
		}
		if _, _, err := ReadFrame(raw[position:]); err == nil {
			return true
		}
		raw = raw[position+1:]
	}
}

// frameChecksum returns the CRC-32C of the length in the header and of the payload.
func frameChecksum(header []byte, parts ...[]byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[frameLengthOffset:frameChecksumOffset])
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return sum
}
