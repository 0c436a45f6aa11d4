package roster

import (
	"encoding/json"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/slot"
)

// document is the stored form of the table. Each member and change id is listed once and the slots
// refer to it by index, which keeps the value small at 390 daemons.
type document struct {
	Members []slot.Member `json:"members"`
	Changes []string      `json:"changes"`
	Slots   []slotRow     `json:"slots"`
}

// slotRow is one slot: its term, then the indexes of its owner, witness and change id, -1 for none.
// Rows without field names halve the size of the value and the time to decode it.
type slotRow [4]int64

const (
	rowTerm = iota
	rowOwner
	rowWitness
	rowChange
)

// encode returns the stored form of the table.
func encode(table *[slot.Count]slot.Assignment) ([]byte, error) {
	d := document{Slots: make([]slotRow, 0, slot.Count)}
	members := map[slot.Member]int{}
	changes := map[string]int{}
	for _, a := range table {
		r := slotRow{int64(a.Term), -1, -1, -1}
		if a.Term > 0 {
			r[rowOwner] = indexOf(&d.Members, members, a.Owner)
			r[rowChange] = indexOf(&d.Changes, changes, a.ChangeID)
		}
		if !a.Witness.IsNone() {
			r[rowWitness] = indexOf(&d.Members, members, a.Witness)
		}
		d.Slots = append(d.Slots, r)
	}
	return json.Marshal(d)
}

// indexOf returns the index of v in list and appends v if it is missing; seen maps the values of
// list to their indexes.
func indexOf[T comparable](list *[]T, seen map[T]int, v T) int64 {
	i, ok := seen[v]
	if !ok {
		i = len(*list)
		*list = append(*list, v)
		seen[v] = i
	}
	return int64(i)
}

// decode parses the stored form of a table.
func decode(b []byte) (*[slot.Count]slot.Assignment, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrap(err, "roster")
	}
	if len(d.Slots) != slot.Count {
		return nil, errors.Errorf("roster: %d slots, want %d", len(d.Slots), slot.Count)
	}
	table := emptyTable()
	for i, r := range d.Slots {
		a, err := d.assignment(i, r)
		if err != nil {
			return nil, err
		}
		table[i] = a
	}
	return table, nil
}

// assignment returns the assignment of slot i, or an error if r is inconsistent.
func (d *document) assignment(i int, r slotRow) (slot.Assignment, error) {
	a := slot.Assignment{Slot: i, Term: uint64(r[rowTerm])}
	members, changes := int64(len(d.Members)), int64(len(d.Changes))
	if r[rowTerm] < 0 || r[rowOwner] >= members || r[rowWitness] >= members || r[rowChange] >= changes {
		return a, errors.Errorf("roster: slot %d has a negative term or points past the end of a list", i)
	}
	if a.Term > 0 && (r[rowOwner] < 0 || r[rowChange] < 0) {
		return a, errors.Errorf("roster: slot %d has a term but no owner or no change id", i)
	}
	if a.Term == 0 {
		return a, nil
	}
	a.Owner, a.ChangeID = d.Members[r[rowOwner]], d.Changes[r[rowChange]]
	if r[rowWitness] >= 0 {
		a.Witness = d.Members[r[rowWitness]]
	}
	return a, nil
}

// emptyTable returns a table in which no slot has been assigned.
func emptyTable() *[slot.Count]slot.Assignment {
	var table [slot.Count]slot.Assignment
	for i := range table {
		table[i].Slot = i
	}
	return &table
}
