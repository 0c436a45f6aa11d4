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

// values are the keys of one section as text, defaults written out.
type values map[string]string

// sections returns all sections of s by header.
func sections(s *site.Site) map[string]values {
	all := map[string]values{"limits": limitValues(s.Limits)}
	if s.Name != "" {
		all["site"] = values{"name": s.Name, "zones": strings.Join(s.Zones, ", ")}
	}
	for name, x := range s.Services {
		all["service "+name] = serviceValues(x)
	}
	for name, x := range s.Pools {
		all["pool "+name] = values{"fencing": yesNo(x.Fencing), "slots": strconv.Itoa(x.Slots)}
	}
	for name, x := range s.Accounts {
		all["account "+name] = accountValues(x)
	}
	return all
}

func limitValues(l site.Limits) values {
	return values{
		"body_bytes": strconv.FormatInt(l.BodyBytes, 10), "answer_ttl": l.AnswerTTL.String(),
		"entries_ttl": l.EntriesTTL.String(), "key_ttl": l.KeyTTL.String(),
	}
}

func serviceValues(s *site.Service) values {
	v := values{
		"kind": string(s.Kind), "pool": s.Pool, "model": s.Model, "adapter": s.Adapter, "version": s.Version,
		"floor": strconv.Itoa(s.Floor), "class": string(s.Class), "deadline": s.Deadline.String(),
		"depends_on": strings.Join(slices.Sorted(slices.Values(s.DependsOn)), ", "),
		"repeatable": yesNo(s.Idempotent), "latency_weight": number(s.LatencyWeight),
		"max_tokens": strconv.Itoa(s.MaxTokens),
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Replicas)) {
		if n := s.Replicas[zone]; n > 0 {
			v["replicas."+zone] = strconv.Itoa(n)
		}
	}
	return v
}

// accountValues names token hashes only by a digest of them: plans are pasted
// into tickets, and a hash of a weak token can be guessed from.
func accountValues(a *site.Account) values {
	return values{
		"share": number(a.Share), "tokens_per_second": number(a.TokensPerSecond),
		"token_hashes": fmt.Sprintf("%d (%s)", len(a.TokenHashes), digest(a.TokenHashes)),
	}
}

func digest(hashes []string) string {
	sum := sha256.Sum256([]byte(strings.Join(slices.Sorted(slices.Values(hashes)), ",")))
	return hex.EncodeToString(sum[:4])
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
