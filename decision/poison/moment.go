package poison

// moment holds the terminations within sameMoment of one of them. It moves along a list of
// terminations that is ordered by time.
type moment[K comparable] struct {
	first, next int                  // the terminations from first up to next, without next
	servers     map[K]int            // terminations by server
	byPart      map[string]map[K]int // the same by part of the prompt
}

func newMoment[K comparable]() *moment[K] {
	return &moment[K]{servers: map[K]int{}, byPart: map[string]map[K]int{}}
}

// moveTo moves to the ith termination. i must not decrease.
func (m *moment[K]) moveTo(crashes []PromptCrash[K], i int) {
	at := crashes[i].At
	for ; m.next < len(crashes) && crashes[m.next].At.Sub(at) <= sameMoment; m.next++ {
		m.count(crashes[m.next], 1)
	}
	for ; at.Sub(crashes[m.first].At) > sameMoment; m.first++ {
		m.count(crashes[m.first], -1)
	}
}

func (m *moment[K]) count(c PromptCrash[K], n int) {
	addCount(m.servers, c.Server, n)
	for _, part := range c.Parts {
		if m.byPart[part] == nil {
			m.byPart[part] = map[K]int{}
		}
		addCount(m.byPart[part], c.Server, n)
	}
}

func addCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// isTypical reports whether at least half of the servers that terminated at the moment had a prompt
// with a part.
//
// It guards against a failure of many servers at once, such as that of a switch: each prompt that
// had begun at one of them seems to have crashed it.
func (m *moment[K]) isTypical(part string) bool { return 2*len(m.byPart[part]) >= len(m.servers) }
