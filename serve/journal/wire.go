package journal

import (
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/peer/peerpb"
)

// ToWire returns the message form of a copy.
func ToWire(c Copy) *peerpb.OpenRequest {
	return &peerpb.OpenRequest{
		Spec:    c.Spec,
		Forks:   ForksToWire(c.History),
		Tokens:  c.Tokens,
		Attempt: c.Attempt,
		Finish:  c.Finish,
	}
}

// FromWire reads the form written by ToWire. ok is false for a message without
// a specification or an epoch.
func FromWire(r *peerpb.OpenRequest) (c Copy, ok bool) {
	if r.GetSpec() == nil || len(r.GetForks()) == 0 {
		return Copy{}, false
	}
	line := make(epochs.History, 0, len(r.GetForks()))
	for _, f := range r.GetForks() {
		line = append(line, epochs.Fork{Epoch: epochs.Epoch(f.GetEpoch()), FromOffset: int(f.GetOffset()), Owner: f.GetOwner()})
	}
	return Copy{Spec: r.GetSpec(), History: line, Tokens: r.GetTokens(), Attempt: r.GetAttempt(), Finish: r.GetFinish()}, true
}

// ForksToWire returns the message form of a line.
func ForksToWire(l epochs.History) []*peerpb.Fork {
	out := make([]*peerpb.Fork, 0, len(l))
	for _, f := range l {
		out = append(out, &peerpb.Fork{Epoch: uint64(f.Epoch), Offset: uint32(f.FromOffset), Owner: f.Owner})
	}
	return out
}
