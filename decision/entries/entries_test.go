package entries

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cespare/xxhash/v2"
)

func newFleet(n, zones int) []VM {
	out := make([]VM, n)
	for i := range out {
		id := fmt.Sprintf("e%d", i)
		out[i] = VM{ID: id, Hash: xxhash.Sum64String(id), Zone: fmt.Sprint(i % zones), Usable: true}
	}
	return out
}

func TestSmallFleetIsSelectedWholeInRotation(t *testing.T) {
	fleet := newFleet(7, 3)
	first := map[int]int{}
	for rotation := range uint64(70) {
		a := Select(fleet, Query{LoadShare: 0.1, Rotation: rotation})
		must.SliceLen(t, 7, a.VMs)
		must.Eq(t, ReasonAll, a.Reason)
		first[a.VMs[0]]++
	}
	for i := range fleet {
		test.Eq(t, 10, first[i])
	}
}

// Callers keep connecting to a VM that is about to stop. A leaving VM must be missing from
// every account's selection at once.
func TestUnusableVMIsNeverSelected(t *testing.T) {
	fleet := newFleet(40, 5)
	fleet[3].Usable = false
	for share := range 20 {
		a := Select(fleet, Query{LoadShare: 0.05, ShareBefore: 0.05 * float64(share)})
		test.SliceNotContains(t, a.VMs, 3)
	}
	must.Eq(t, ReasonNone, Select(nil, Query{}).Reason)
}

func TestEverySelectionSpansTheZones(t *testing.T) {
	fleet := newFleet(390, 7)
	for k := range 100 {
		zones := map[string]bool{}
		for _, i := range Select(fleet, Query{LoadShare: 0.001, ShareBefore: float64(k) / 100}).VMs {
			zones[fleet[i].Zone] = true
		}
		test.MapLen(t, 7, zones)
	}
}

// A few accounts send most of the load. Windows that follow each other by load share must load
// the VMs evenly; otherwise one VM carries twice its share.
func TestLargeAccountsLoadTheVMsEvenly(t *testing.T) {
	fleet := newFleet(390, 7)
	var loads []AccountLoad
	for k := range 810 {
		name := fmt.Sprintf("a%d", k)
		loads = append(loads, AccountLoad{Name: name, Hash: xxhash.Sum64String(name), Weight: 1 / float64(k+1)})
	}
	load := make([]float64, len(fleet))
	for _, s := range loads {
		share, before := LoadPosition(loads, s.Name)
		a := Select(fleet, Query{LoadShare: share, ShareBefore: before})
		for _, i := range a.VMs {
			load[i] += share / float64(len(a.VMs))
		}
	}
	for _, x := range load {
		test.Between(t, 0.6, x*390, 1.4)
	}
}

func TestSelectionShrinksOnlyPastTheHysteresis(t *testing.T) {
	fleet := newFleet(390, 7)
	selected := len(Select(fleet, Query{LoadShare: 0.02}).VMs)
	a := Select(fleet, Query{LoadShare: 0.018, PreviousCount: selected})
	test.Eq(t, ReasonHysteresis, a.Reason)
	test.SliceLen(t, selected, a.VMs)
	test.Less(t, selected, len(Select(fleet, Query{LoadShare: 0.005, PreviousCount: selected}).VMs))
}

func TestIsSelected(t *testing.T) {
	fleet := newFleet(40, 5)
	q := Query{LoadShare: 0.001}
	inside := Select(fleet, q).VMs[0]
	selected, isSelected := DefaultRule.IsSelected(fleet, q, inside)
	test.Eq(t, DefaultRule.MinVMs, selected)
	test.True(t, isSelected)
	_, isSelected = DefaultRule.IsSelected(fleet, q, -1)
	test.False(t, isSelected)
}

// Callers see slow answers at a few VMs while others are idle, because every daemon selects
// the same VMs, or all daemons do at the same moment, or the only daemon that is asked always
// does. Whichever daemons are asked, the answers together must select each VM equally often,
// and each VM must be first equally often for callers that use only the first address.
func TestUnknownAccountSelectionsCoverTheRingEvenly(t *testing.T) {
	requests := map[string]func(k int) (own int, rotation uint64){
		"one daemon":         func(k int) (int, uint64) { return 3, uint64(k) },
		"all, same rotation": func(k int) (int, uint64) { return k, 5 },
		"all, late rotation": func(k int) (int, uint64) { return k, 1 << 62 },
	}
	for _, size := range []int{1, 7, 64, 65, 87, 88, 128, 390} {
		fleet := newFleet(size, min(4, size))
		for name, request := range requests {
			selectedCount, first := make([]int, size), make([]int, size)
			selected := 0
			for k := range size {
				own, rotation := request(k)
				own = min(own, size-1)
				a := SelectForUnknownAccount(fleet, own, rotation)
				selected = len(a.VMs)
				must.Eq(t, min(size, unknownAccountVMCount), selected)
				for _, i := range a.VMs {
					selectedCount[i]++
				}
				first[a.VMs[0]]++
			}
			for i := range fleet {
				must.Eq(t, selected, selectedCount[i], must.Sprintf("%d VMs, %s: VM %d", size, name, i))
				must.Eq(t, 1, first[i], must.Sprintf("%d VMs, %s: VM %d", size, name, i))
			}
		}
	}
}

// A leaving daemon still answers. It must select other VMs, and leaving daemons must not all
// begin with the same VM.
func TestLeavingDaemonsSelectDifferentFirstVMs(t *testing.T) {
	fleet := newFleet(88, 4)
	first := map[int]bool{}
	for own := range 20 {
		fleet[own].Usable = false
		a := SelectForUnknownAccount(fleet, own, 1)
		must.SliceNotContains(t, a.VMs, own)
		first[a.VMs[0]] = true
		fleet[own].Usable = true
	}
	test.Greater(t, 10, len(first))
	must.Eq(t, ReasonNone, SelectForUnknownAccount(nil, -1, 1).Reason)
}

// A zone is lost while callers hold a selection, or VMs leave in turn. A selection must not
// lose a larger part to a lost zone than the fleet does, and must not contain an unusable VM.
func TestUnknownAccountSelectionsBalanceTheZones(t *testing.T) {
	for _, size := range []int{88, 390} {
		fleet := newFleet(size, 4)
		for zones := 4; zones > 1; zones-- {
			for own := range fleet {
				perZone := map[string]int{}
				for _, i := range SelectForUnknownAccount(fleet, own, 7).VMs {
					must.True(t, fleet[i].Usable)
					perZone[fleet[i].Zone]++
				}
				must.MapLen(t, zones, perZone)
				even := min(unknownAccountVMCount, size*zones/4) / zones
				for _, n := range perZone {
					must.Between(t, even-1, n, even+2)
				}
			}
			for i := range fleet {
				fleet[i].Usable = fleet[i].Usable && fleet[i].Zone != fmt.Sprint(zones-1)
			}
		}
	}
}
