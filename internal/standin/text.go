package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	defaultTokens = 16
	maxTokens     = 100_000
	prefixBytes   = 256
)

// Prompt is the body of a call to a model service.
type Prompt struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"` // number of events of the response, 0 for the default of 16
}

// ParsePrompt decodes the body of a call to a model service and fails if the number of tokens is out of range.
func ParsePrompt(body []byte) (prompt Prompt, err error) {
	defer func() { err = errors.Wrap(err, "read prompt") }()
	if err := json.Unmarshal(body, &prompt); err != nil {
		return prompt, err
	}
	if prompt.Tokens == 0 {
		prompt.Tokens = defaultTokens
	}
	if prompt.Tokens < 0 || prompt.Tokens > maxTokens {
		return prompt, errors.Newf("tokens %d not in 1..%d", prompt.Tokens, maxTokens)
	}
	return prompt, nil
}

// TextGenerator generates the deterministic response to one prompt.
type TextGenerator struct {
	words []string
	seed  uint64
}

// NewTextGenerator returns the generator of the response to prompt.
func NewTextGenerator(prompt string) TextGenerator {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{"empty"}
	}
	return TextGenerator{words: words, seed: xxhash.Sum64String(prompt)}
}

// Text returns the text of the event with the given index, from 0.
func (g TextGenerator) Text(index int) string {
	digest := xxhash.Sum64String(strconv.FormatUint(g.seed, 16) + "." + strconv.Itoa(index))
	return fmt.Sprintf("%s~%04x ", g.words[index%len(g.words)], uint16(digest))
}

// FullText returns the complete text of a response of count events.
func (g TextGenerator) FullText(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(g.Text(i))
	}
	return text.String()
}

// HashText returns the xxhash64 of a text as 16 hexadecimal digits.
func HashText(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// PrefixKey returns the key under which an engine caches the first 256 bytes of a prompt.
func PrefixKey(prompt string) string {
	return HashText(prompt[:min(len(prompt), prefixBytes)])
}

// PlainResult returns the result of a plain service for a call: the hash of its path and body.
func PlainResult(path string, body []byte) string {
	return HashText(path + "\x00" + string(body))
}
