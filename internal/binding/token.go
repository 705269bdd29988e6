package binding

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// maxTokenBytes is the longest binding that Decode reads, in bytes.
const maxTokenBytes = 1024

// Token is the decoded content of a binding.
type Token struct {
	Agent       string     `json:"agent"`       // name of the agent
	Address     string     `json:"address"`     // host and port of the agent
	Incarnation uint64     `json:"incarnation"` // random number drawn at the start of the agent
	Expiry      clock.Time `json:"expiry"`      // by the agent's clock, in milliseconds
	Service     string     `json:"service"`
}

// ErrToken is the cause of every decoding failure.
var ErrToken = errors.New("binding is not readable")

// Encode returns the text form of the binding that callers pass.
func (t Token) Encode() string {
	content, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(content)
}

// Decode decodes a binding, or returns ErrToken.
func Decode(text string) (token Token, err error) {
	if len(text) > maxTokenBytes {
		return Token{}, errors.Wrap(ErrToken, "too long")
	}
	content, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, errors.Wrapf(ErrToken, "decode base64: %v", err)
	}
	if err := json.Unmarshal(content, &token); err != nil {
		return Token{}, errors.Wrapf(ErrToken, "decode content: %v", err)
	}
	if token.Agent == "" || token.Address == "" || token.Incarnation == 0 {
		return Token{}, errors.Wrap(ErrToken, "incomplete")
	}
	return token, nil
}

// IDPrefix returns the prefix that request ids under this binding must have.
// It ties a request id to one incarnation and one expiry.
func (t Token) IDPrefix() string {
	text := t.Agent + "\x00" + strconv.FormatUint(t.Incarnation, 16) + "\x00" + strconv.FormatInt(int64(t.Expiry), 10)
	return strconv.FormatUint(xxhash.Sum64String(text), 36)
}

// Covers reports whether a request id belongs to this binding.
func (t Token) Covers(id string) bool {
	return strings.HasPrefix(id, t.IDPrefix()+".")
}
