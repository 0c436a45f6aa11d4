package journal

import (
	"container/list"
	"sync"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/peerpb"
)

// Copy is one generation as its owner last copied it here.
type Copy struct {
	Spec    *peerpb.GenerationSpec
	History epochs.History
	Tokens  []string
	Attempt *peerpb.Attempt
	Finish  string
}

// Limits bound what a Holder keeps.
type Limits struct {
	// Bytes bounds prompts and tokens together. When it is reached finished
	// copies go first, the oldest at the front; then new copies are refused and
	// their owners choose another holder.
	Bytes int
	// TTL is how long a copy is kept after its last change.
	TTL func() time.Duration
}

// Holder keeps copies in memory. It is safe for concurrent use.
type Holder struct {
	limits Limits
	random func() uint64

	mu     sync.Mutex
	copies map[string]*entry
	bytes  int
	// finished holds the entries that may be evicted, least recently touched
	// first, so that making room costs no search while the holder is full.
	finished *list.List
}

type entry struct {
	Copy
	touched time.Time
	bytes   int
	place   *list.Element // in finished, nil while the answer runs
}

// NewHolder returns an empty Holder. random feeds the epochs it hands out.
func NewHolder(limits Limits, random func() uint64) *Holder {
	return &Holder{limits: limits, random: random, copies: make(map[string]*entry), finished: list.New()}
}

// Result tells the writer of a copy what became of it.
type Result struct {
	Accepted bool
	Unknown  bool         // no copy here: send it whole
	Epoch    epochs.Epoch // newest known here
	Length   int
}

// Open stores a whole copy. It is refused when a copy with a newer epoch, or
// with another first epoch and an owner that may still run, is here.
func (h *Holder) Open(c Copy) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.copies[c.Spec.GetId()]
	if old != nil && supersedes(old.Copy, c) {
		return Result{Epoch: old.History.Epoch(), Length: len(old.Tokens)}
	}
	if old != nil && old.History.Epoch() == c.History.Epoch() && len(old.Tokens) > len(c.Tokens) {
		// A message that was under way while its successors arrived: the owner
		// gave it up as lost long ago. Taking it would shorten the copy below
		// what callers hold.
		return Result{Accepted: true, Epoch: c.History.Epoch(), Length: len(old.Tokens)}
	}
	e := &entry{Copy: c, bytes: size(c)}
	if !h.makeRoom(e.bytes, c.Spec.GetId()) {
		return Result{Epoch: c.History.Epoch()}
	}
	if old != nil {
		h.remove(c.Spec.GetId(), old)
	}
	h.copies[c.Spec.GetId()] = e
	h.bytes += e.bytes
	h.touch(e)
	return Result{Accepted: true, Epoch: c.History.Epoch(), Length: len(c.Tokens)}
}

// supersedes reports whether the copy held must not be replaced by next.
func supersedes(held, next Copy) bool {
	if next.History.Epoch() == held.History.Epoch() {
		return false
	}
	for i, f := range next.History[:len(next.History)-1] {
		if f.Epoch == held.History.Epoch() {
			// next continues what is held, unless it left the line before the
			// held end: then callers may hold tokens that next does not have, of
			// an owner that was cut off while its answer was taken over.
			return next.History[i+1].FromOffset < len(held.Tokens)
		}
	}
	if held.Finish != "" && next.History.Epoch().OwnerCount() == held.History.Epoch().OwnerCount() {
		return true
	}
	return next.History.Epoch().OwnerCount() <= held.History.Epoch().OwnerCount()
}

// Append adds tokens at offset under epoch. Tokens already held are skipped, so
// a repeated append does no harm.
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
		h.grow(e, tokens[skip:])
	}
	// A late message must not bring back an earlier attempt: its engine goes on
	// with another text than the tokens held here.
	if attempt != nil && offset+len(tokens) == len(e.Tokens) {
		e.Attempt = attempt
	}
	if finish != "" {
		e.Finish = finish
	}
	h.touch(e)
	return Result{Accepted: true, Epoch: epoch, Length: len(e.Tokens)}
}

func (h *Holder) grow(e *entry, tokens []string) {
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

// Adopt makes newOwner the owner from the copy's present length on and returns
// the copy under its new epoch. seen must be a prefix of the copy.
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
	h.touch(e)
	return e.clone(), epochs.Prefix, true
}

// Drop removes a copy whose epoch is not newer than epoch: its owner keeps it elsewhere now.
func (h *Holder) Drop(id string, epoch epochs.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.copies[id]; e != nil && e.History.Epoch() == epoch {
		h.remove(id, e)
	}
}

// Expire removes copies that have not changed for the TTL.
func (h *Holder) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ttl := h.limits.TTL()
	for id, e := range h.copies {
		if now.Sub(e.touched) >= ttl {
			h.remove(id, e)
		}
	}
}

// All returns every copy held.
func (h *Holder) All() []Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Copy, 0, len(h.copies))
	for _, e := range h.copies {
		out = append(out, e.clone())
	}
	return out
}

// Size returns the number of copies and their bytes.
func (h *Holder) Size() (copies, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.copies), h.bytes
}

func (h *Holder) remove(id string, e *entry) {
	delete(h.copies, id)
	h.bytes -= e.bytes
	if e.place != nil {
		h.finished.Remove(e.place)
	}
}

// touch notes a change of e, which makes it the last to be evicted.
func (h *Holder) touch(e *entry) {
	e.touched = time.Now()
	switch {
	case e.place != nil:
		h.finished.MoveToBack(e.place)
	case e.Finish != "":
		e.place = h.finished.PushBack(e)
	}
}

// makeRoom evicts finished copies, least recently touched first, until n more
// bytes fit. The copy named keep stays: it is about to be replaced.
func (h *Holder) makeRoom(n int, keep string) bool {
	for at := h.finished.Front(); h.bytes+n > h.limits.Bytes; {
		if at == nil {
			return false
		}
		e := at.Value.(*entry)
		at = at.Next()
		if id := e.Spec.GetId(); id != keep {
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

// stringHeader is what a token costs beside its bytes: a Go string header.
const stringHeader = 16

func tokenBytes(t string) int { return len(t) + stringHeader }

func size(c Copy) int {
	n := len(c.Spec.GetPrompt())
	for _, t := range c.Tokens {
		n += tokenBytes(t)
	}
	return n
}
