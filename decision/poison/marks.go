package poison

import "time"

const (
	// maxMarkedRequests bounds the marks that a daemon keeps.
	maxMarkedRequests = 4096
	// markTTL is how long a mark holds of which nothing more is heard: longer than the
	// store is away, where refused requests lie.
	markTTL = 10 * time.Minute
)

// Marks are those that a daemon was told of. The zero value is empty. It is not safe for
// concurrent use.
type Marks struct {
	marks map[string]markEntry // by digest
}

type markEntry struct {
	mark  Mark
	setAt time.Time
}

// Raise records a mark. It reports whether it is a higher one than before; a lower one changes
// nothing. There may be no room for a request that is only watched.
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

// Get is the mark of a request.
func (m *Marks) Get(now time.Time, digest string) Mark {
	entry := m.marks[digest]
	if now.Sub(entry.setAt) >= markTTL {
		return Unmarked
	}
	return entry.mark
}

// ClearWatched takes back that a request is watched. It reports whether it was.
func (m *Marks) ClearWatched(digest string) bool {
	if m.marks[digest].mark != Watched {
		return false
	}
	delete(m.marks, digest)
	return true
}

// Delete takes back that a request is refused.
func (m *Marks) Delete(digest string) { delete(m.marks, digest) }

// DigestsWith are the requests with a mark.
func (m *Marks) DigestsWith(now time.Time, mark Mark) (digests []string) {
	for digest := range m.marks {
		if m.Get(now, digest) == mark {
			digests = append(digests, digest)
		}
	}
	return digests
}

// evict drops the marks that do not hold any more, or else that of the request which has
// been watched for the longest time. It reports whether there is room.
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
