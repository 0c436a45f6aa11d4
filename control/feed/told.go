package feed

// told is the progress of changes that peers tell in several replies, the last of which is not partial.
//
// Each reply holds the entries of a range of revisions, as the table of a peer had them then. The table
// changes meanwhile. It also holds entries beyond the revision up to which it knows all changes, such as
// a configuration that was read on its own. A reply that goes beyond that revision says nothing of other
// changes before its end; and another peer may know such an entry only as it was before, in a range that
// was told already.
type told struct {
	// source is the process that tells; 0 if it does not say so.
	source uint64
	// upTo is the revision up to which entries were told; 0 before the first partial reply.
	upTo int64
	// lowest is the lowest revision of a table from which entries are held, also those of replies that were
	// forgotten; 0 if none are.
	lowest int64
	// highest is the highest revision of the tables.
	highest int64
	// certain is the lowest revision of a table whose reply went beyond it; 0 if none did.
	certain int64
}

// add records a partial reply of a process with the entries up to a revision from a table at the
// revision known.
func (p *told) add(source uint64, upTo, known int64) {
	p.source = source
	if p.lowest == 0 {
		p.lowest = known
	}
	p.upTo, p.lowest, p.highest = upTo, min(p.lowest, known), max(p.highest, known)
	if upTo > known && (p.certain == 0 || known < p.certain) {
		p.certain = known
	}
}

// restart forgets the replies, after one that cannot follow them. The entries that they held stay, so
// that removals since the oldest of their tables still have to be told.
func (p *told) restart() { *p = told{lowest: p.lowest} }

// continues reports whether a reply of a process from a table at the revision known, with the entries up
// to a revision, can follow the earlier ones. The last reply, and one that goes beyond its table's
// revision, must not be older than they are: what they left out as changed later would be missing.
func (p *told) continues(source uint64, upTo, known int64, last bool) bool {
	return source == p.source && (known >= p.highest || !last && upTo <= known)
}

// completeTo returns the revision up to which all changes are known after the last reply, which was made
// from a table at the revision known.
func (p *told) completeTo(known int64) int64 {
	if p.certain != 0 {
		return min(p.certain, known)
	}
	return known
}
