package datagram

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Most is the size in bytes of the largest datagram that is sent or read: UDP carries 65,507 bytes.
const Most = 60 << 10

// Encode returns the message as bytes, or an error where it does not fit one datagram.
func Encode(message any) (content []byte, err error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true) // most numbers are counts below 128
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if buffer.Len() > Most {
		return nil, errors.Newf("datagram of %d bytes is larger than %d", buffer.Len(), Most)
	}
	return buffer.Bytes(), nil
}

// Decode reads a message from bytes.
func Decode(content []byte, into any) error {
	return errors.Wrapf(msgpack.Unmarshal(content, into), "decode datagram of %d bytes", len(content))
}
