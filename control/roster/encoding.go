package roster

import (
	"encoding/json"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/slot"
)

// document is the stored form. Members and change ids are listed once and
// slots point to them, which keeps the value near 50 KB at 390 daemons.
type document struct {
	Members []slot.Member `json:"members"`
	Changes []string      `json:"changes"`
	Slots   []row         `json:"slots"`
}

type row struct {
	Term    uint64 `json:"t"`
	Owner   int    `json:"o"`
	Witness int    `json:"w"` // -1: none
	Change  int    `json:"c"`
}

// encode writes table in the stored form.
func encode(table *[slot.Count]slot.Assignment) ([]byte, error) {
	d := document{Slots: make([]row, 0, slot.Count)}
	members := map[slot.Member]int{}
	changes := map[string]int{}
	for _, a := range table {
		r := row{Term: a.Term, Owner: -1, Witness: -1, Change: -1}
		if a.Term > 0 {
			r.Owner = index(&d.Members, members, a.Owner)
			r.Change = index(&d.Changes, changes, a.Change)
		}
		if !a.Witness.None() {
			r.Witness = index(&d.Members, members, a.Witness)
		}
		d.Slots = append(d.Slots, r)
	}
	return json.Marshal(d)
}

func index[T comparable](list *[]T, seen map[T]int, v T) int {
	i, ok := seen[v]
	if !ok {
		i = len(*list)
		*list = append(*list, v)
		seen[v] = i
	}
	return i
}

// decode reads the stored form.
func decode(b []byte) (*[slot.Count]slot.Assignment, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrap(err, "roster")
	}
	if len(d.Slots) != slot.Count {
		return nil, errors.Errorf("roster: %d slots, want %d", len(d.Slots), slot.Count)
	}
	table := empty()
	for i, r := range d.Slots {
		if r.Owner >= len(d.Members) || r.Witness >= len(d.Members) || r.Change >= len(d.Changes) {
			return nil, errors.Errorf("roster: slot %d points past a list", i)
		}
		if r.Term > 0 && (r.Owner < 0 || r.Change < 0) {
			return nil, errors.Errorf("roster: slot %d has a term and no owner", i)
		}
		table[i].Term = r.Term
		if r.Owner >= 0 {
			table[i].Owner = d.Members[r.Owner]
		}
		if r.Witness >= 0 {
			table[i].Witness = d.Members[r.Witness]
		}
		if r.Change >= 0 {
			table[i].Change = d.Changes[r.Change]
		}
	}
	return table, nil
}

// empty returns a table of slots that were never assigned.
func empty() *[slot.Count]slot.Assignment {
	var table [slot.Count]slot.Assignment
	for i := range table {
		table[i].Slot = i
	}
	return &table
}
