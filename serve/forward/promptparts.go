package forward

import "strings"

// maxPromptParts bounds the shared parts of a prompt that are read. Prompts have a handful.
const maxPromptParts = 32

// ParsePromptParts parses a list of the parts of a prompt in order, separated by commas, each an ID
// or ID:TOKENS. It returns the IDs of the parts that other prompts may share, without duplicates, and
// that of the last part, which no other prompt shares. Entries without an ID are skipped.
func ParsePromptParts(list string) (shared []string, own string) {
	before, last := "", list
	if comma := strings.LastIndexByte(list, ','); comma >= 0 {
		before, last = list[:comma], list[comma+1:]
	}
	seen := map[string]bool{}
	for before != "" && len(shared) < maxPromptParts {
		var entry string
		entry, before, _ = strings.Cut(before, ",")
		if id := partID(entry); id != "" && !seen[id] {
			seen[id] = true
			shared = append(shared, id)
		}
	}
	return shared, partID(last)
}

// partID returns the ID of a part written as ID or ID:TOKENS.
func partID(entry string) string {
	id, _, _ := strings.Cut(entry, ":")
	return strings.TrimSpace(id)
}
