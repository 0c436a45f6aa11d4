package store

import "slices"

// Page is a range of keys that was read at one revision.
type Page struct {
	// LastKey is the last key of the range, which begins after the page before. The last page of a
	// list covers all later keys too, and its LastKey is not used.
	LastKey string
	// Revision is the revision of the store as of which the range was read.
	Revision int64
}

// Pages holds the pages of one list, in the order of their keys. It has at least one page.
type Pages []Page

// Oldest returns the lowest revision of any page. Changes after it may be missing from the list.
func (p Pages) Oldest() int64 {
	oldest := p[0].Revision
	for _, page := range p[1:] {
		oldest = min(oldest, page.Revision)
	}
	return oldest
}

// Newest returns the highest revision of any page.
func (p Pages) Newest() int64 {
	newest := p[0].Revision
	for _, page := range p[1:] {
		newest = max(newest, page.Revision)
	}
	return newest
}

// RevisionAt returns the revision as of which key was read, whether or not it existed.
func (p Pages) RevisionAt(key string) int64 {
	n, _ := slices.BinarySearchFunc(p[:len(p)-1], key, func(page Page, key string) int {
		if page.LastKey < key {
			return -1
		}
		return 1
	})
	return p[n].Revision
}

// Listing is the result of a list: the keys that exist, sorted, and the revisions as of which they
// were read. It is not a snapshot of the store if it has several pages: a page may be older or newer
// than the one before it.
type Listing struct {
	KVs   []KV
	Pages Pages
}

// NewListing returns a list that was read at one revision.
func NewListing(kvs []KV, revision int64) Listing {
	return Listing{KVs: kvs, Pages: Pages{{Revision: revision}}}
}
