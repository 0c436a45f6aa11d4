package generation

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"mallowwind.dev/control/site"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/journal"
)

// Spec is a caller's request. It is immutable once submitted: a request that
// switches to another version gets a Spec of its own.
type Spec struct {
	ID          string // set by Submit
	Account     *site.Account
	Service     *site.Service
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        *int64
	Stop        []string
	// IdempotencyKey is the caller's Idempotency-Key, empty if none.
	IdempotencyKey string
	Chat           bool // the caller used the chat API
}

// idBytes is the length of a generation id in bytes; epochs.IsValidID checks the text form.
const idBytes = 16

// assignID sets the id. With a key, the id is derived from account, service and key,
// so that every entry VM finds the same generation for the same key. Without a key,
// it is one of the owner's journal groups followed by random digits, so that the
// copies of one owner's answers have few holders.
func (s *Spec) assignID(owner string) {
	if s.IdempotencyKey == "" {
		var b [idBytes]byte
		_, _ = rand.Read(b[:])
		group := journal.GroupName(owner, b[0])
		s.ID = "g" + group + hex.EncodeToString(b[:])[len(group):]
		return
	}
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q", s.Account.Name, s.Service.Name, s.IdempotencyKey)
	s.ID = "k" + hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// digest returns the digest of the body. A key that is reused with another digest is
// refused.
func (s *Spec) digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %g %q %t", s.Prompt, s.MaxTokens, s.Temperature, s.Stop, s.Chat)
	if s.Seed != nil {
		fmt.Fprintf(h, " %d", *s.Seed)
	}
	return h.Sum(nil)
}

func (s *Spec) toWire() *peerpb.GenerationSpec {
	return &peerpb.GenerationSpec{
		Id:             s.ID,
		Account:        s.Account.Name,
		Service:        s.Service.Name,
		Model:          s.Service.Model,
		Adapter:        s.Service.Adapter,
		Version:        s.Service.Version,
		Prompt:         s.Prompt,
		MaxTokens:      uint32(s.MaxTokens),
		Temperature:    s.Temperature,
		Seed:           s.Seed,
		Stop:           s.Stop,
		IdempotencyKey: s.IdempotencyKey,
		BodyDigest:     s.digest(),
		Chat:           s.Chat,
	}
}

// specFromWire rebuilds a Spec. Account and service come from the current site if it
// names them. Model, adapter and version always come from w, so that an answer
// started under an older site continues with the model that it was started with.
func specFromWire(w *peerpb.GenerationSpec, in *site.Site) *Spec {
	account := &site.Account{Name: w.GetAccount(), Share: 1}
	service := site.Service{Name: w.GetService(), Kind: site.KindGeneration, Class: site.ClassNormal}
	if in != nil {
		if a := in.Accounts[w.GetAccount()]; a != nil {
			account = a
		}
		if s := in.Services[w.GetService()]; s != nil {
			service = *s
		}
	}
	service.Model, service.Adapter, service.Version = w.GetModel(), w.GetAdapter(), w.GetVersion()
	return &Spec{
		ID:             w.GetId(),
		Account:        account,
		Service:        &service,
		Prompt:         w.GetPrompt(),
		MaxTokens:      int(w.GetMaxTokens()),
		Temperature:    w.GetTemperature(),
		Seed:           w.Seed,
		Stop:           w.GetStop(),
		IdempotencyKey: w.GetIdempotencyKey(),
		Chat:           w.GetChat(),
	}
}

const (
	// charactersPerToken is the usual ratio for estimating a prompt's tokens.
	charactersPerToken = 4
	// maxPrefixBytes bounds the part of a prompt that is hashed to find an engine whose
	// cache may hold it.
	maxPrefixBytes = 512
)

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(prompt string) int { return len(prompt)/charactersPerToken + 1 }

// PromptTokens estimates the number of tokens of the prompt, as reported to callers.
func (s *Spec) PromptTokens() int { return promptTokens(s.Prompt) }

// randomEpoch returns the random part of an epoch.
func randomEpoch() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
