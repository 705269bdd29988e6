package datagram

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the maximum size in bytes of a datagram, and of a message before it is compressed; UDP carries up to 65,507
// bytes.
const MaxSize = 60 << 10

const (
	minCompressed  = 2 << 10 // bytes of the smallest message that is compressed, as maps and counts are
	compressedMark = 0xc1    // first byte of a compressed message; no msgpack message begins with it
)

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}}

// Encode encodes the message as msgpack and compresses it if it is large, or returns an error if it is too large.
func Encode(message any) (content []byte, err error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true) // most numbers are counts below 128
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if buffer.Len() > MaxSize {
		return nil, errors.Newf("datagram of %d bytes is larger than %d", buffer.Len(), MaxSize)
	}
	if buffer.Len() < minCompressed {
		return buffer.Bytes(), nil
	}
	return compress(buffer.Bytes())
}

func compress(content []byte) (compressed []byte, err error) {
	defer func() { err = errors.Wrap(err, "compress datagram") }()
	var buffer bytes.Buffer
	buffer.WriteByte(compressedMark)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Expand returns the encoded message as it was before it was compressed, if it was, or an error. Its size tells the memory that the
// decoded message takes.
func Expand(content []byte) (expanded []byte, err error) {
	defer func() { err = errors.Wrapf(err, "expand datagram of %d bytes", len(content)) }()
	if len(content) == 0 || content[0] != compressedMark {
		return content, nil
	}
	reader := flate.NewReader(bytes.NewReader(content[1:]))
	if expanded, err = io.ReadAll(io.LimitReader(reader, MaxSize+1)); err != nil {
		return nil, err
	}
	if len(expanded) > MaxSize {
		return nil, errors.Newf("more than %d bytes", MaxSize)
	}
	return expanded, nil
}

// Decode decodes a message into the value that into points to, or returns an error.
func Decode(content []byte, into any) (err error) {
	if content, err = Expand(content); err != nil {
		return err
	}
	return errors.Wrapf(msgpack.Unmarshal(content, into), "decode datagram of %d bytes", len(content))
}
