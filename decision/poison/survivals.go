package poison

import "time"

// maxSurvivingParts bounds the parts of prompts whose survivals are kept.
const maxSurvivingParts = 2048

// AnyPart stands for all prompts in Survivals.
const AnyPart = ""

// Survivals holds for parts of prompts when a server last began to answer a prompt with the part and
// kept running. The zero value is empty. It is not safe for concurrent use. When it is full it
// evicts the part whose last survival is the oldest.
type Survivals struct {
	last map[string]time.Time // by part
}

// Record records that a server began to answer a prompt with a part at a time and kept running.
func (s *Survivals) Record(part string, begun time.Time) {
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	known, ok := s.last[part]
	if !ok && len(s.last) >= maxSurvivingParts {
		s.evict()
	}
	if begun.After(known) {
		s.last[part] = begun
	}
}

// Last returns the last survival of a part, and false if none is known.
func (s *Survivals) Last(part string) (time.Time, bool) {
	begun, ok := s.last[part]
	return begun, ok
}

func (s *Survivals) evict() {
	oldest := AnyPart
	for part, begun := range s.last {
		if part != AnyPart && (oldest == AnyPart || begun.Before(s.last[oldest])) {
			oldest = part
		}
	}
	delete(s.last, oldest)
}
