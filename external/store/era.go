package store

// eraShift is the number of bits of a version that hold the revision within an era: enough for a
// thousand changes a second over five centuries. The bits above hold the era.
const eraShift = 44

// MaxEra is the highest era that a version can hold.
const MaxEra = 1<<(63-eraShift) - 1

// VersionIn returns the version of a revision that a service gave out in the given era. A service that
// is restored from an older copy of its data begins a new era: it loses what it acknowledged since,
// and gives out the same revisions again. Versions of a later era are higher than all earlier ones, so
// that they order what was read whether or not the service was restored in between. The era of a
// service that is never restored is 0.
func VersionIn(era, revision int64) int64 { return era<<eraShift | revision }

// EraOf returns the era of a version.
func EraOf(version int64) int64 { return version >> eraShift }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version int64) int64 { return version & (1<<eraShift - 1) }
