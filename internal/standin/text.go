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
	Tokens int    `json:"tokens"` // length of the answer in events, 0 for the default of 16
}

// ParsePrompt reads the body of a call to a model service.
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

// Writer makes the deterministic answer to one prompt.
type Writer struct {
	words []string
	seed  uint64
}

// NewWriter returns the writer of the answer to prompt.
func NewWriter(prompt string) Writer {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{"empty"}
	}
	return Writer{words: words, seed: xxhash.Sum64String(prompt)}
}

// Text returns the text of the event with this index, from 0.
func (w Writer) Text(index int) string {
	mark := xxhash.Sum64String(strconv.FormatUint(w.seed, 16) + "." + strconv.Itoa(index))
	return fmt.Sprintf("%s~%04x ", w.words[index%len(w.words)], uint16(mark))
}

// Whole returns the whole answer of count events.
func (w Writer) Whole(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(w.Text(i))
	}
	return text.String()
}

// HashText returns the xxhash64 of a text as 16 hexadecimal digits.
func HashText(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// Prefix returns the name under which an engine caches the start of the prompt.
func Prefix(prompt string) string {
	return HashText(prompt[:min(len(prompt), prefixBytes)])
}

// Result returns what a plain service answers to a call.
func Result(path string, body []byte) string {
	return HashText(path + "\x00" + string(body))
}
