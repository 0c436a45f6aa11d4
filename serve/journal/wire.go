package journal

import (
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/peerpb"
)

// ToWire returns the wire form of a copy.
func ToWire(c Copy) *peerpb.OpenRequest {
	return &peerpb.OpenRequest{
		Spec:    c.Spec,
		Forks:   ForksToWire(c.History),
		Tokens:  c.Tokens,
		Attempt: c.Attempt,
		Finish:  c.Finish,
	}
}

// FromWire converts the wire form of a copy back. ok is false if the message has no specification
// or no forks.
func FromWire(r *peerpb.OpenRequest) (c Copy, ok bool) {
	if r.GetSpec() == nil || len(r.GetForks()) == 0 {
		return Copy{}, false
	}
	history := make(epochs.History, 0, len(r.GetForks()))
	for _, f := range r.GetForks() {
		history = append(history, epochs.Fork{Epoch: epochs.Epoch(f.GetEpoch()), FromOffset: int(f.GetOffset()), Owner: f.GetOwner()})
	}
	return Copy{Spec: r.GetSpec(), History: history, Tokens: r.GetTokens(), Attempt: r.GetAttempt(), Finish: r.GetFinish()}, true
}

// ForksToWire returns the wire form of an ownership history.
func ForksToWire(l epochs.History) []*peerpb.Fork {
	out := make([]*peerpb.Fork, 0, len(l))
	for _, f := range l {
		out = append(out, &peerpb.Fork{Epoch: uint64(f.Epoch), Offset: uint32(f.FromOffset), Owner: f.Owner})
	}
	return out
}
