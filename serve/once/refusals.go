package once

import (
	"context"
	"sync"

	pb "mallowwind.dev/peer/peerpb"
)

// maxBroadcastPeers is the largest number of peers to which refusal numbers are broadcast. A
// copy sent after a refusal is accepted immediately where the number is known, else at the next
// retry. In a large fleet an account uses only a few entry VMs, and those learn the number with
// their first answer.
const maxBroadcastPeers = 32

// slotSet collects the slots that had refusals since the last broadcast.
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

// broadcastRefusals sends the newest sequence numbers of slots with refusals to the other entry
// VMs, so that a caller that retries at another entry VM is not taken for an old copy.
// Correctness does not depend on the delivery.
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
