package operate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"mallowwind.dev/control/site"
)

// sectionValues maps the keys of one section to their values as text, defaults included.
type sectionValues map[string]string

// valuesBySection returns the values of all sections of s by section header.
func valuesBySection(s *site.Site) map[string]sectionValues {
	all := map[string]sectionValues{"limits": limitValues(s.Limits)}
	if s.Name != "" {
		all["site"] = sectionValues{"name": s.Name, "zones": strings.Join(s.Zones, ", ")}
	}
	for name, x := range s.Services {
		all["service "+name] = serviceValues(x)
	}
	for name, x := range s.Pools {
		all["pool "+name] = sectionValues{"fencing": formatBool(x.Fencing), "slots": strconv.Itoa(x.Slots)}
	}
	for name, x := range s.Accounts {
		all["account "+name] = accountValues(x)
	}
	return all
}

func limitValues(l site.Limits) sectionValues {
	return sectionValues{
		"body_bytes": strconv.FormatInt(l.BodyBytes, 10), "answer_ttl": l.AnswerTTL.String(),
		"entries_ttl": l.EntriesTTL.String(), "key_ttl": l.KeyTTL.String(),
	}
}

func serviceValues(s *site.Service) sectionValues {
	v := sectionValues{
		"kind": string(s.Kind), "pool": s.Pool, "model": s.Model, "adapter": s.Adapter, "version": s.Version,
		"floor": strconv.Itoa(s.Floor), "class": string(s.Class), "deadline": s.Deadline.String(),
		"depends_on": strings.Join(slices.Sorted(slices.Values(s.DependsOn)), ", "),
		"repeatable": formatBool(s.Idempotent), "latency_weight": formatFloat(s.LatencyWeight),
		"max_tokens": strconv.Itoa(s.MaxTokens),
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Replicas)) {
		if n := s.Replicas[zone]; n > 0 {
			v["replicas."+zone] = strconv.Itoa(n)
		}
	}
	return v
}

// accountValues returns the number of token hashes and a short digest in place of the hashes: plans
// are pasted into tickets, and a weak token can be guessed from its hash.
func accountValues(a *site.Account) sectionValues {
	return sectionValues{
		"share": formatFloat(a.Share), "tokens_per_second": formatFloat(a.TokensPerSecond),
		"token_hashes": fmt.Sprintf("%d (%s)", len(a.TokenHashes), shortDigest(a.TokenHashes)),
	}
}

func shortDigest(hashes []string) string {
	sum := sha256.Sum256([]byte(strings.Join(slices.Sorted(slices.Values(hashes)), ",")))
	return hex.EncodeToString(sum[:4])
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
