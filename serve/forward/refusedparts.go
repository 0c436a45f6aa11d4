package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"mallowwind.dev/decision/poison"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
)

// partSets are sets of parts; prompts with all parts of one of them are refused.
type partSets []partSet

// partSet is a set of parts with the digest of its refusal.
type partSet struct {
	digest string
	parts  []string
}

// partsDigest returns the digest under which prompts with all of some parts are refused. IDs of parts
// are chosen by callers and may be no valid keys.
func partsDigest(parts []string) string {
	hash := sha256.New()
	for _, part := range slices.Sorted(slices.Values(parts)) {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return partKeyPrefix + hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// errPoisonParts refuses a prompt whose parts crash servers. Retrying does not help, so there is no
// Retry-After.
func errPoisonParts(v verdict.Verdict, digest string) error {
	return verdict.New(v, verdict.CodePoison, "backend servers end when they answer prompts with some parts of it, so it is sent to none (%s)", digest)
}

// addParts records parts of which no prompt may have all. The caller holds the lock.
func (p *poisonRegistry) addParts(digest string, parts []string) {
	if len(parts) == 0 {
		return
	}
	p.h.poisonParts.observeRefusal(parts)
	sets := p.parts[parts[0]]
	if !slices.ContainsFunc(sets, func(s partSet) bool { return s.digest == digest }) {
		p.parts[parts[0]] = append(sets, partSet{digest, parts})
	}
}

// pruneParts drops the sets whose refusal was lifted or has expired. The caller holds the lock.
func (p *poisonRegistry) pruneParts() {
	for first, sets := range p.parts {
		sets = slices.DeleteFunc(sets, func(s partSet) bool { return p.mark(s.digest) != poison.Refused })
		if p.parts[first] = sets; len(sets) == 0 {
			delete(p.parts, first)
		}
	}
}

// refusedFor returns the digests under which a prompt with the given parts is refused. The caller holds the
// lock.
func (p *poisonRegistry) refusedFor(parts []string) (digests []string) {
	for _, part := range parts {
		for _, s := range p.parts[part] {
			if poison.ContainsAll(parts, s.parts) && p.mark(s.digest) == poison.Refused {
				digests = append(digests, s.digest)
			}
		}
	}
	return digests
}

// isPromptRefused reports whether a prompt with the given parts is refused.
func (p *poisonRegistry) isPromptRefused(parts []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	return len(p.refusedFor(parts)) > 0
}

// refuse refuses prompts with some parts, tells all other daemons and writes the refusal to the store.
func (p *poisonRegistry) refuse(details *peerpb.Poisonous) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	if !p.isStored(details.GetDigest()) {
		p.details[details.GetDigest()] = details
		p.announce(details, poison.Refused)
	}
}
