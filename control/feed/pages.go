package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxPageBytes bounds the keys and values of one reply to a peer. Compressed to a fifth or less,
	// twenty of them pass a link of 20 Mbit/s within pollTimeout.
	maxPageBytes = 128 << 10
	// minPackedBytes is the size from which a reply is compressed.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes bounds a reply after decompression: a page, all keys, and one value of the
	// largest size.
	maxUnpackedBytes = 16 << 20
	// pageTTL is how long a full page is served again. Its entries may have changed since, but each
	// later change has a later revision and follows with a later page.
	pageTTL = time.Second
	// maxCachedPages bounds the cached pages; a state of several thousand servers has a few dozen.
	maxCachedPages = 64
)

// page is one reply's worth of changes after a revision.
type page struct {
	revision int64 // up to which the entries are told
	known    int64 // up to which all changes were known when the page was made
	partial  bool  // there are more changes
	// content holds the changes; packed holds them compressed in its place if they are large.
	content *peerpb.SnapshotReply
	packed  []byte
	builtAt time.Duration
}

// pageCache holds the full pages sent lately, by the revision that they begin after. Daemons that
// start together ask for the same pages, which are then encoded once. A page that goes beyond the
// revision up to which all changes were known is not held, because an older one must not follow a newer
// one (told.continues). It is not safe for concurrent use.
type pageCache map[int64]*page

// prune drops the pages that are older than pageTTL.
func (c pageCache) prune(now time.Duration) {
	for after, p := range c {
		if now-p.builtAt >= pageTTL {
			delete(c, after)
		}
	}
}

func (c pageCache) put(now time.Duration, after int64, p *page) {
	if len(c) < maxCachedPages {
		p.builtAt = now
		c[after] = p
	}
}

// newPage encodes the changes of a delta. revision is the one up to which the table is complete.
func newPage(d delta, revision int64) (*page, error) {
	p := &page{revision: revision, known: revision, partial: d.partial}
	if d.partial {
		p.revision = d.upTo
	}
	content := &peerpb.SnapshotReply{Removed: d.removedKeys, Present: d.presentKeys, ListsPresent: d.listsPresent}
	for _, kv := range d.puts {
		content.Entries = append(content.Entries, &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version})
	}
	if proto.Size(content) < minPackedBytes {
		p.content = content
		return p, nil
	}
	raw, err := proto.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode page")
	}
	p.packed, err = compress(raw)
	return p, err
}

// addTo adds the changes of the page to a reply.
func (p *page) addTo(reply *peerpb.SnapshotReply) {
	reply.Packed = p.packed
	if p.content != nil {
		addContent(reply, p.content)
	}
}

func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "feed: compress page")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "feed: compress page")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "feed: compress page")
	}
	return out.Bytes(), nil
}

// unpack returns the reply with the content of its compressed part.
func unpack(reply *peerpb.SnapshotReply) (*peerpb.SnapshotReply, error) {
	if len(reply.GetPacked()) == 0 {
		return reply, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(reply.GetPacked())), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "feed: decompress page")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errors.Errorf("feed: page of more than %d bytes", maxUnpackedBytes)
	}
	var content peerpb.SnapshotReply
	if err := proto.Unmarshal(raw, &content); err != nil {
		return nil, errors.Wrap(err, "feed: decode page")
	}
	reply.Packed = nil
	addContent(reply, &content)
	return reply, nil
}

// addContent adds the changes of a page to a reply.
func addContent(reply, content *peerpb.SnapshotReply) {
	reply.Entries = append(reply.Entries, content.GetEntries()...)
	reply.Removed, reply.Present, reply.ListsPresent = content.GetRemoved(), content.GetPresent(), content.GetListsPresent()
}

// entryKV returns the key that an entry of a reply describes.
func entryKV(e *peerpb.FeedEntry) store.KV {
	return store.KV{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetRevision()}
}

// replyEvents returns the changes of a reply in the order in which they apply.
func replyEvents(reply *peerpb.SnapshotReply, removed []string) []store.Event {
	list := make([]store.Event, 0, len(reply.GetEntries())+len(removed))
	for _, e := range reply.GetEntries() {
		list = append(list, store.Event{Kind: store.Put, KV: entryKV(e)})
	}
	for _, key := range removed {
		list = append(list, store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: reply.GetRevision()}})
	}
	return list
}
