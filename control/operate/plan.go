package operate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
)

// Action is the kind of a change to a section.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the semantic difference in one section. Comments, order and explicitly written defaults
// do not count as changes.
type Change struct {
	Section string      `json:"section"` // section header without brackets
	Action  Action      `json:"action"`
	Keys    []KeyChange `json:"keys,omitempty"`
	Effects []string    `json:"effects,omitempty"` // what the system will do, in order
}

// KeyChange is a key whose value differs. Token hashes are replaced by their count and a digest.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	var keys []string
	if c.Action == Changed {
		for _, k := range c.Keys {
			keys = append(keys, fmt.Sprintf("%s %s -> %s", k.Key, orNone(k.Old), orNone(k.New)))
		}
	}
	line := fmt.Sprintf("%s [%s]", c.Action, c.Section)
	if len(keys) > 0 {
		line += ": " + strings.Join(keys, ", ")
	}
	if len(c.Effects) > 0 {
		line += " (" + strings.Join(c.Effects, "; ") + ")"
	}
	return line
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// parseOwnSite parses text and rejects the text of another site: applying the wrong file by mistake
// would remove all services of this site.
func (c *Client) parseOwnSite(text string) (*site.Site, error) {
	s, err := site.Parse("site text", []byte(text))
	if err != nil {
		return nil, err
	}
	if s.Name != c.Site {
		return nil, errors.Errorf("the text is of site %q, not %q", s.Name, c.Site)
	}
	return s, nil
}

// Plan returns the changes between two texts, sorted by section. An empty text stands for no text.
func Plan(oldText, newText string) ([]Change, error) {
	old, err := parseOrEmpty("accepted text", oldText)
	if err != nil {
		return nil, err
	}
	new, err := parseOrEmpty("new text", newText)
	if err != nil {
		return nil, err
	}
	before, after := valuesBySection(old), valuesBySection(new)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(unionSections(before, after))) {
		if c, differs := diffSection(name, before[name], after[name]); differs {
			c.Effects = changeEffects(c, old, new)
			changes = append(changes, c)
		}
	}
	return changes, nil
}

func unionSections(a, b map[string]sectionValues) map[string]sectionValues {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

func diffSection(section string, old, new sectionValues) (Change, bool) {
	c := Change{Section: section, Action: Changed}
	switch {
	case old == nil:
		c.Action = Added
	case new == nil:
		c.Action = Removed
	}
	keys := maps.Clone(old)
	if keys == nil {
		keys = sectionValues{}
	}
	maps.Copy(keys, new)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if old[key] != new[key] {
			c.Keys = append(c.Keys, KeyChange{key, old[key], new[key]})
		}
	}
	return c, c.Action != Changed || len(c.Keys) > 0
}

// changeEffects describes what the system will do because of c, in the order in which it does it.
func changeEffects(c Change, old, new *site.Site) []string {
	name, ok := strings.CutPrefix(c.Section, "service ")
	if !ok {
		return accountEffects(c)
	}
	before, after := old.Services[name], new.Services[name]
	switch {
	case before == nil:
		return addedServiceEffects(after)
	case after == nil:
		return []string{"no new work", "running work ends", "replicas are unloaded"}
	}
	return changedServiceEffects(before, after)
}

func accountEffects(c Change) []string {
	if strings.HasPrefix(c.Section, "account ") && c.Action == Removed {
		return []string{"its callers get 401 from then on"}
	}
	return nil
}

func addedServiceEffects(s *site.Service) []string {
	var list []string
	for _, zone := range slices.Sorted(maps.Keys(s.Replicas)) {
		list = append(list, fmt.Sprintf("load %d in %s", s.Replicas[zone], zone))
	}
	if len(s.DependsOn) > 0 {
		list = append([]string{"wait for " + strings.Join(s.DependsOn, ", ")}, list...)
	}
	return list
}

func changedServiceEffects(before, after *site.Service) []string {
	if before.Kind == site.KindPlain && after.Kind == site.KindPlain {
		return nil // plain services load no models
	}
	var list []string
	if before.Model != after.Model || before.Adapter != after.Adapter || before.Version != after.Version {
		list = append(list, "replace replicas one at a time in each zone, the new one ready before the old one drains")
	}
	zones := maps.Clone(before.Replicas)
	maps.Copy(zones, after.Replicas)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		switch d := after.Replicas[zone] - before.Replicas[zone]; {
		case d > 0:
			list = append(list, fmt.Sprintf("load %d more in %s", d, zone))
		case d < 0:
			list = append(list, fmt.Sprintf("drain and unload %d in %s", -d, zone))
		}
	}
	return list
}
