package datagram

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the maximum size in bytes of a datagram; UDP carries up to 65,507 bytes.
const MaxSize = 60 << 10

// Encode encodes the message as msgpack, or returns an error if it does not fit into one datagram.
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
	return buffer.Bytes(), nil
}

// Decode decodes a message into the value that into points to, or returns an error.
func Decode(content []byte, into any) error {
	return errors.Wrapf(msgpack.Unmarshal(content, into), "decode datagram of %d bytes", len(content))
}
