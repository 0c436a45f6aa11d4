// Package tokencheck generates and verifies the self-checking tokens of the simulated engine. Token k
// contains its index, a hash of the model, the prompt and all previous tokens, and a salt. A missing or
// repeated token, or a token of another generation, can therefore be detected from the text alone.
package tokencheck

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of Check, wrapped with the position of the fault.
var (
	// ErrMissing means that tokens are missing.
	ErrMissing = errors.New("tokencheck: token missing")
	// ErrRepeated means that a token is repeated.
	ErrRepeated = errors.New("tokencheck: token repeated")
	// ErrMixed means that a token continues another text: of another generation, attempt, prompt or
	// model.
	ErrMixed = errors.New("tokencheck: generations mixed")
	// ErrMalformed means that the text does not consist of complete tokens.
	ErrMalformed = errors.New("tokencheck: malformed token")
)

const (
	hashDigits    = 8
	maxSaltBytes  = 2
	maxTokenBytes = 32 // enough for a token with any index
)

// Chain is the running hash of a generation. It is not safe for concurrent use.
type Chain struct {
	digest *xxhash.Digest
	next   int
}

// NewChain returns the chain of a generation by model for prompt.
func NewChain(model, prompt string) *Chain {
	d := xxhash.New()
	d.WriteString(model)
	d.WriteString("\x00")
	d.WriteString(prompt)
	d.WriteString("\x00")
	return &Chain{digest: d}
}

// Next returns the next token, with the given salt, and appends it.
func (c *Chain) Next(salt string) string {
	var buf [maxTokenBytes]byte
	b := append(buf[:0], ' ')
	b = strconv.AppendInt(b, int64(c.next), 10)
	b = append(b, '.')
	b = appendHash(b, uint32(c.digest.Sum64()))
	token := string(append(b, salt...))
	c.Append(token)
	return token
}

// appendHash appends h as eight lower-case hexadecimal digits.
func appendHash(b []byte, h uint32) []byte {
	const digits = "0123456789abcdef"
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, digits[h>>shift&0xf])
	}
	return b
}

// Append appends a token that was generated elsewhere, such as one of a given prefix.
func (c *Chain) Append(token string) {
	c.digest.WriteString(token)
	c.next++
}

// Check verifies that text is a prefix of a single generation by model for prompt and returns the
// number of tokens. On an error it returns the number of valid tokens before the fault.
func Check(model, prompt, text string) (int, error) {
	c := NewChain(model, prompt)
	for text != "" {
		token := text
		if i := strings.IndexByte(text[1:], ' '); i >= 0 {
			token = text[:i+1]
		}
		text = text[len(token):]
		if err := c.accept(token); err != nil {
			return c.next, err
		}
	}
	return c.next, nil
}

// CheckWhole is like Check for a finished generation of exactly want tokens.
func CheckWhole(model, prompt, text string, want int) error {
	n, err := Check(model, prompt, text)
	if err != nil {
		return err
	}
	if n != want {
		return errors.Wrapf(ErrMissing, "text ends after %d of %d tokens", n, want)
	}
	return nil
}

func (c *Chain) accept(token string) error {
	index, hash, err := parse(token)
	if err != nil {
		return errors.Wrapf(err, "at index %d", c.next)
	}
	switch {
	case index > c.next:
		return errors.Wrapf(ErrMissing, "index %d came after %d", index, c.next-1)
	case index < c.next:
		return errors.Wrapf(ErrRepeated, "index %d came after %d", index, c.next-1)
	case hash != uint32(c.digest.Sum64()):
		return errors.Wrapf(ErrMixed, "token %d does not continue the tokens before it", index)
	}
	c.Append(token)
	return nil
}

func parse(token string) (index int, hash uint32, err error) {
	number, rest, ok := strings.Cut(token, ".")
	if !ok || !strings.HasPrefix(number, " ") || len(rest) <= hashDigits || len(rest) > hashDigits+maxSaltBytes {
		return 0, 0, errors.Wrapf(ErrMalformed, "%q", token)
	}
	index, err = strconv.Atoi(number[1:])
	if err != nil || strconv.Itoa(index) != number[1:] || index < 0 {
		return 0, 0, errors.Wrapf(ErrMalformed, "index of %q", token)
	}
	h, err := strconv.ParseUint(rest[:hashDigits], 16, 32)
	if err != nil || strings.ToLower(rest) != rest {
		return 0, 0, errors.Wrapf(ErrMalformed, "hash of %q", token)
	}
	if strings.Trim(rest[hashDigits:], "abcdefghijklmnopqrstuvwxyz") != "" {
		return 0, 0, errors.Wrapf(ErrMalformed, "salt of %q", token)
	}
	return index, uint32(h), nil
}
