package durable

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// Layout of a frame: magic, length of the payload, CRC-32C over the length and
// the payload, payload.
const (
	frameMagic       = "PWL1"
	frameLengthAt    = len(frameMagic)
	frameChecksumAt  = frameLengthAt + 4
	frameHeaderBytes = frameChecksumAt + 4
	maxPayloadBytes  = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errFrame   = errors.New("not a whole frame")
)

// AppendFrame appends the frame of a payload to buffer.
func AppendFrame(buffer, payload []byte) []byte {
	buffer = append(buffer, frameHeader([][]byte{payload})...)
	return append(buffer, payload...)
}

// frameHeader returns what stands before a payload that comes in parts.
func frameHeader(parts [][]byte) []byte {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	header := binary.BigEndian.AppendUint32([]byte(frameMagic), uint32(length))
	return binary.BigEndian.AppendUint32(header, frameChecksum(header, parts...))
}

// ReadFrame returns the payload of the frame at the start of raw and the
// frame's size. It fails on anything but a whole, undamaged frame.
func ReadFrame(raw []byte) (payload []byte, size int, err error) {
	if len(raw) < frameHeaderBytes || string(raw[:frameLengthAt]) != frameMagic {
		return nil, 0, errFrame
	}
	length := int(binary.BigEndian.Uint32(raw[frameLengthAt:]))
	if length > maxPayloadBytes || length > len(raw)-frameHeaderBytes {
		return nil, 0, errFrame
	}
	payload = raw[frameHeaderBytes : frameHeaderBytes+length]
	if binary.BigEndian.Uint32(raw[frameChecksumAt:]) != frameChecksum(raw, payload) {
		return nil, 0, errFrame
	}
	return payload, frameHeaderBytes + length, nil
}

// HoldsFrame reports whether a whole frame starts anywhere in raw.
func HoldsFrame(raw []byte) bool {
	for {
		at := bytes.Index(raw, []byte(frameMagic))
		if at < 0 {
			return false
		}
		if _, _, err := ReadFrame(raw[at:]); err == nil {
			return true
		}
		raw = raw[at+1:]
	}
}

func frameChecksum(header []byte, parts ...[]byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[frameLengthAt:frameChecksumAt])
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return sum
}
