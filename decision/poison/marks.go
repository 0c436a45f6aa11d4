package poison

import "time"

const (
	// maxMarkedRequests bounds the marks that a daemon keeps.
	maxMarkedRequests = 4096
	// markTTL is how long a mark is valid without an update: longer than an outage of the store,
	// where refused requests are recorded.
	markTTL = 10 * time.Minute
)

// Marks holds the marks reported by other daemons or set by this one. The zero value is empty. It
// is not safe for concurrent use.
type Marks struct {
	marks map[string]markEntry // by digest
}

type markEntry struct {
	mark  Mark
	setAt time.Time
}

// Raise sets the mark of a request if it is higher than the current one, and reports whether it
// did. It reports false as well if there is no space left because all other marks are of refused
// requests.
func (m *Marks) Raise(now time.Time, digest string, mark Mark) bool {
	if m.marks == nil {
		m.marks = map[string]markEntry{}
	}
	if mark <= m.Get(now, digest) {
		return false
	}
	if _, known := m.marks[digest]; !known && len(m.marks) >= maxMarkedRequests && !m.evict(now) {
		return false
	}
	m.marks[digest] = markEntry{mark, now}
	return true
}

// Get returns the mark of a request.
func (m *Marks) Get(now time.Time, digest string) Mark {
	entry := m.marks[digest]
	if now.Sub(entry.setAt) >= markTTL {
		return Unmarked
	}
	return entry.mark
}

// ClearWatched removes the mark of a request that is watched. It reports whether the request was
// watched.
func (m *Marks) ClearWatched(digest string) bool {
	if m.marks[digest].mark != Watched {
		return false
	}
	delete(m.marks, digest)
	return true
}

// Delete removes the mark of a request, whatever it is.
func (m *Marks) Delete(digest string) { delete(m.marks, digest) }

// DigestsWith returns the digests of all requests with the given mark.
func (m *Marks) DigestsWith(now time.Time, mark Mark) (digests []string) {
	for digest := range m.marks {
		if m.Get(now, digest) == mark {
			digests = append(digests, digest)
		}
	}
	return digests
}

// evict removes the expired marks and, if that is not enough, the mark of the request that has been
// watched for the longest time. It reports whether there is space for another mark.
func (m *Marks) evict(now time.Time) bool {
	oldest := ""
	for digest, entry := range m.marks {
		if m.Get(now, digest) == Unmarked {
			delete(m.marks, digest)
			continue
		}
		if entry.mark == Watched && (oldest == "" || entry.setAt.Before(m.marks[oldest].setAt)) {
			oldest = digest
		}
	}
	if len(m.marks) >= maxMarkedRequests {
		delete(m.marks, oldest)
	}
	return len(m.marks) < maxMarkedRequests
}
