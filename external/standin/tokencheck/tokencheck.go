// Package tokencheck makes and verifies the self-checking tokens of the
// stand-in engine. Token k carries its index, a hash of the model, the prompt
// and every token before it, and a random salt, so that a missing, repeated or
// foreign token shows in the text itself.
package tokencheck

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of Check, wrapped with the index at which they show.
var (
	// ErrMissing means that tokens were left out.
	ErrMissing = errors.New("tokencheck: token missing")
	// ErrRepeated means that a token came again.
	ErrRepeated = errors.New("tokencheck: token repeated")
	// ErrMixed means that a token continues another text: another generation,
	// another attempt, another prompt or another model.
	ErrMixed = errors.New("tokencheck: generations mixed")
	// ErrMalformed means that the text is not made of whole tokens.
	ErrMalformed = errors.New("tokencheck: malformed token")
)

const (
	hashDigits    = 8
	maxSaltBytes  = 2
	maxTokenBytes = 32 // bytes of a token with any index
)

// Chain is the running hash over a generation. It is not safe for concurrent use.
type Chain struct {
	digest *xxhash.Digest
	next   int
}

// NewChain starts the chain of a generation of model over prompt.
func NewChain(model, prompt string) *Chain {
	d := xxhash.New()
	d.WriteString(model)
	d.WriteString("\x00")
	d.WriteString(prompt)
	d.WriteString("\x00")
	return &Chain{digest: d}
}

// Next makes the next token with this salt and advances.
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

// appendHash writes eight lower-case hexadecimal digits.
func appendHash(b []byte, h uint32) []byte {
	const digits = "0123456789abcdef"
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, digits[h>>shift&0xf])
	}
	return b
}

// Append advances over a token made elsewhere, as a forced prefix is.
func (c *Chain) Append(token string) {
	c.digest.WriteString(token)
	c.next++
}

// Check verifies that text is a prefix of exactly one generation of model over
// prompt and returns how many tokens it holds. On an error it returns how many
// were good before it.
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

// CheckWhole is Check for a finished answer of exactly want tokens.
func CheckWhole(model, prompt, text string, want int) error {
	n, err := Check(model, prompt, text)
	if err != nil {
		return err
	}
	if n != want {
		return errors.Wrapf(ErrMissing, "answer ends after %d of %d tokens", n, want)
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
