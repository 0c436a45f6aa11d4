package once

import (
	"context"
	"sync"

	pb "mallowwind.dev/peer/peerpb"
)

// maxBroadcastPeers is the largest fleet in which refusal numbers go to everyone.
// A copy sent after a refusal passes at once where the number is known, else
// with the next try. In a large fleet an account uses a few entry VMs only,
// and those learn the number with the first answer.
const maxBroadcastPeers = 32

// slotSet collects the slots that had refusals since they were last spread.
type slotSet struct {
	mu    sync.Mutex
	slots map[int]bool
}

func (r *slotSet) add(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots == nil {
		r.slots = make(map[int]bool)
	}
	r.slots[i] = true
}

func (r *slotSet) take() map[int]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.slots
	r.slots = nil
	return out
}

// broadcastRefusals tells the other entry VMs the newest numbers of slots with refusals,
// so that a caller who tries again at another entry VM is not taken for an old
// copy. Nothing depends on its arrival.
func (s *Service) broadcastRefusals() {
	slots, peers := s.refusedSlots.take(), s.peers()
	if len(slots) == 0 || len(peers) > maxBroadcastPeers {
		return
	}
	w := &pb.HeardRequest{}
	for i := range slots {
		if n := s.tables[i].lastSeqAt(s.ownedTerm(i)); n > 0 {
			s.learnSeq(i, n)
			w.Numbers = append(w.Numbers, &pb.RefusalNumber{Slot: uint32(i), Number: n})
		}
	}
	for _, m := range peers {
		s.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportRPCTimeout)
			defer cancel()
			_, _ = s.client(m).Heard(ctx, w)
		})
	}
}
