package journal

import (
	"container/list"
	"sync"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/peerpb"
)

// Copy is the state of one generation as its owner last sent it to the holder.
type Copy struct {
	Spec    *peerpb.GenerationSpec
	History epochs.History
	Tokens  []string
	Attempt *peerpb.Attempt
	Finish  string
}

// Limits bound the memory and the lifetime of the copies in a Holder.
type Limits struct {
	// Bytes bounds the size of all prompts and tokens. It is enforced when a copy is opened:
	// finished copies are evicted, the least recently changed first, and if that is not enough,
	// the new copy is refused and its owner chooses another holder.
	Bytes int
	// TTL returns how long a copy is kept after its last change.
	TTL func() time.Duration
}

// Holder stores copies in memory. It is safe for concurrent use.
type Holder struct {
	limits Limits
	random func() uint64

	mu     sync.Mutex
	copies map[string]*entry
	bytes  int
	// finished lists the entries that may be evicted, the least recently changed first, so that a
	// full holder need not search for them.
	finished *list.List
}

type entry struct {
	Copy
	lastChanged time.Time
	bytes       int
	element     *list.Element // in finished; nil while the generation is running
}

// NewHolder returns an empty Holder. random supplies the random part of new epochs.
func NewHolder(limits Limits, random func() uint64) *Holder {
	return &Holder{limits: limits, random: random, copies: make(map[string]*entry), finished: list.New()}
}

// Result is the reply to the owner that writes a copy.
type Result struct {
	Accepted bool
	Unknown  bool         // no copy, or one that ends before the offset: send the full copy
	Epoch    epochs.Epoch // newest epoch known to the holder
	Length   int          // tokens held
}

// Open stores a full copy. It is refused if the copy already held supersedes it, or if it doesn't
// fit within the limits.
func (h *Holder) Open(c Copy) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.copies[c.Spec.GetId()]
	if old != nil && supersedes(old.Copy, c) {
		return Result{Epoch: old.History.Epoch(), Length: len(old.Tokens)}
	}
	if old != nil && old.History.Epoch() == c.History.Epoch() && len(old.Tokens) > len(c.Tokens) {
		// A delayed message that later ones have overtaken; its owner has given it up as lost.
		// Storing it would make the copy shorter than the text that callers already hold.
		return Result{Accepted: true, Epoch: c.History.Epoch(), Length: len(old.Tokens)}
	}
	e := &entry{Copy: c, bytes: copyBytes(c)}
	if !h.evictUntilFits(e.bytes, c.Spec.GetId()) {
		return Result{Epoch: c.History.Epoch()}
	}
	if old != nil {
		h.remove(c.Spec.GetId(), old)
	}
	h.copies[c.Spec.GetId()] = e
	h.bytes += e.bytes
	h.markChanged(e)
	return Result{Accepted: true, Epoch: c.History.Epoch(), Length: len(c.Tokens)}
}

// supersedes reports whether held must not be replaced by next.
func supersedes(held, next Copy) bool {
	if next.History.Epoch() == held.History.Epoch() {
		return false
	}
	for i, f := range next.History[:len(next.History)-1] {
		if f.Epoch == held.History.Epoch() {
			// next continues held, unless its history forked off before the end of held. In that
			// case callers may hold tokens that next lacks: those of an owner that was
			// partitioned while another one took over its generation.
			return next.History[i+1].FromOffset < len(held.Tokens)
		}
	}
	if held.Finish != "" && next.History.Epoch().OwnerCount() == held.History.Epoch().OwnerCount() {
		return true
	}
	return next.History.Epoch().OwnerCount() <= held.History.Epoch().OwnerCount()
}

// Append adds tokens at offset. It is refused unless epoch is the epoch of the copy. Tokens
// already held are skipped, so Append is idempotent.
func (h *Holder) Append(id string, epoch epochs.Epoch, offset int, tokens []string, attempt *peerpb.Attempt, finish string) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.copies[id]
	if e == nil {
		return Result{Unknown: true}
	}
	res := Result{Epoch: e.History.Epoch(), Length: len(e.Tokens)}
	if e.History.Epoch() != epoch {
		return res
	}
	if offset > len(e.Tokens) {
		res.Unknown = true
		return res
	}
	if skip := len(e.Tokens) - offset; skip < len(tokens) {
		h.appendTokens(e, tokens[skip:])
	}
	// A delayed message must not restore an earlier attempt: that attempt's engine would continue
	// with a text that differs from the tokens held.
	if attempt != nil && offset+len(tokens) == len(e.Tokens) {
		e.Attempt = attempt
	}
	if finish != "" {
		e.Finish = finish
	}
	h.markChanged(e)
	return Result{Accepted: true, Epoch: epoch, Length: len(e.Tokens)}
}

func (h *Holder) appendTokens(e *entry, tokens []string) {
	n := 0
	for _, t := range tokens {
		n += tokenBytes(t)
	}
	e.Tokens = append(e.Tokens, tokens...)
	e.bytes += n
	h.bytes += n
}

// Peek returns the copy of a generation without changing it.
func (h *Holder) Peek(id string) (Copy, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.copies[id]
	if e == nil {
		return Copy{}, false
	}
	return e.clone(), true
}

// Adopt makes newOwner the owner from the copy's current length on and returns the copy with its
// new epoch. It changes nothing unless seen, the position of the caller, is a prefix of the copy.
// ok is false if there is no copy.
func (h *Holder) Adopt(id, newOwner string, seen epochs.Position) (Copy, epochs.Relation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.copies[id]
	if e == nil {
		return Copy{}, epochs.Prefix, false
	}
	if rel := e.History.Compare(seen, len(e.Tokens)); rel != epochs.Prefix {
		return Copy{}, rel, true
	}
	e.History = e.History.Extend(epochs.Fork{
		Epoch:      e.History.Epoch().Next(h.random()),
		FromOffset: len(e.Tokens),
		Owner:      newOwner,
	})
	h.markChanged(e)
	return e.clone(), epochs.Prefix, true
}

// Drop removes a copy if its epoch is epoch: its owner has moved it to another holder.
func (h *Holder) Drop(id string, epoch epochs.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.copies[id]; e != nil && e.History.Epoch() == epoch {
		h.remove(id, e)
	}
}

// Expire removes the copies that have not changed within the TTL.
func (h *Holder) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ttl := h.limits.TTL()
	for id, e := range h.copies {
		if now.Sub(e.lastChanged) >= ttl {
			h.remove(id, e)
		}
	}
}

// All returns all copies.
func (h *Holder) All() []Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Copy, 0, len(h.copies))
	for _, e := range h.copies {
		out = append(out, e.clone())
	}
	return out
}

// Size returns the number of copies and their total size in bytes.
func (h *Holder) Size() (copies, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.copies), h.bytes
}

func (h *Holder) remove(id string, e *entry) {
	delete(h.copies, id)
	h.bytes -= e.bytes
	if e.element != nil {
		h.finished.Remove(e.element)
	}
}

// markChanged records a change of e. A finished entry thereby becomes the last one to be evicted.
func (h *Holder) markChanged(e *entry) {
	e.lastChanged = time.Now()
	switch {
	case e.element != nil:
		h.finished.MoveToBack(e.element)
	case e.Finish != "":
		e.element = h.finished.PushBack(e)
	}
}

// evictUntilFits evicts finished copies, the least recently changed first, until n more bytes fit,
// and reports whether they do. The copy keepID is not evicted, because it is about to be replaced.
func (h *Holder) evictUntilFits(n int, keepID string) bool {
	for next := h.finished.Front(); h.bytes+n > h.limits.Bytes; {
		if next == nil {
			return false
		}
		e := next.Value.(*entry)
		next = next.Next()
		if id := e.Spec.GetId(); id != keepID {
			h.remove(id, e)
		}
	}
	return true
}

func (e *entry) clone() Copy {
	c := e.Copy
	c.Tokens = append([]string(nil), e.Tokens...)
	return c
}

// stringHeaderBytes is the size of a Go string header, which each token takes besides its text.
const stringHeaderBytes = 16

func tokenBytes(t string) int { return len(t) + stringHeaderBytes }

func copyBytes(c Copy) int {
	n := len(c.Spec.GetPrompt())
	for _, t := range c.Tokens {
		n += tokenBytes(t)
	}
	return n
}
