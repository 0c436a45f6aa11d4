package entries

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cespare/xxhash/v2"
)

func vms(n, zones int) []VM {
	out := make([]VM, n)
	for i := range out {
		id := fmt.Sprintf("e%d", i)
		out[i] = VM{ID: id, Hash: xxhash.Sum64String(id), Zone: fmt.Sprint(i % zones), Usable: true}
	}
	return out
}

func TestSmallFleetIsToldWholeInTurn(t *testing.T) {
	fleet := vms(7, 3)
	first := map[int]int{}
	for turn := range uint64(70) {
		a := Select(fleet, Query{LoadShare: 0.1, Rotation: turn})
		must.SliceLen(t, 7, a.VMs)
		must.Eq(t, ReasonAll, a.Reason)
		first[a.VMs[0]]++
	}
	for i := range fleet {
		test.Eq(t, 10, first[i])
	}
}

// Callers keep connecting to a VM that is about to stop.
// It leaves the answers as soon as it is leaving, in every account's answer.
func TestLeavingVMVanishesAtOnce(t *testing.T) {
	fleet := vms(40, 5)
	fleet[3].Usable = false
	for part := range 20 {
		a := Select(fleet, Query{LoadShare: 0.05, ShareBefore: 0.05 * float64(part)})
		test.SliceNotContains(t, a.VMs, 3)
	}
	must.Eq(t, ReasonNone, Select(nil, Query{}).Reason)
}

func TestEveryAnswerSpansTheZones(t *testing.T) {
	fleet := vms(390, 7)
	for k := range 100 {
		zones := map[string]bool{}
		for _, i := range Select(fleet, Query{LoadShare: 0.001, ShareBefore: float64(k) / 100}).VMs {
			zones[fleet[i].Zone] = true
		}
		test.MapLen(t, 7, zones)
	}
}

// A few accounts bring most of the load; one VM carries twice its share.
// Windows that follow each other's parts must load the VMs evenly.
func TestLargeAccountsLoadTheVMsEvenly(t *testing.T) {
	fleet := vms(390, 7)
	var shares []AccountLoad
	for k := range 810 {
		name := fmt.Sprintf("a%d", k)
		shares = append(shares, AccountLoad{Name: name, Hash: xxhash.Sum64String(name), Weight: 1 / float64(k+1)})
	}
	load := make([]float64, len(fleet))
	for _, s := range shares {
		part, before := LoadPosition(shares, s.Name)
		a := Select(fleet, Query{LoadShare: part, ShareBefore: before})
		for _, i := range a.VMs {
			load[i] += part / float64(len(a.VMs))
		}
	}
	for _, x := range load {
		test.Between(t, 0.6, x*390, 1.4)
	}
}

func TestAnswerShrinksOnlyWhenTheLoadClearlyDid(t *testing.T) {
	fleet := vms(390, 7)
	told := len(Select(fleet, Query{LoadShare: 0.02}).VMs)
	a := Select(fleet, Query{LoadShare: 0.018, PreviousCount: told})
	test.Eq(t, ReasonHysteresis, a.Reason)
	test.SliceLen(t, told, a.VMs)
	test.Less(t, told, len(Select(fleet, Query{LoadShare: 0.005, PreviousCount: told}).VMs))
}

func TestMember(t *testing.T) {
	fleet := vms(40, 5)
	q := Query{LoadShare: 0.001}
	inside := Select(fleet, q).VMs[0]
	told, member := DefaultRule.IsSelected(fleet, q, inside)
	test.Eq(t, DefaultRule.MinVMs, told)
	test.True(t, member)
	_, member = DefaultRule.IsSelected(fleet, q, -1)
	test.False(t, member)
}

// Callers see slow answers at a few VMs while others are idle: every daemon tells
// the same VMs, or all do at the same moment, or the one daemon that is asked does.
// Whoever is asked, the answers together name each VM equally often, and each VM is
// the first of equally many, for callers that use the first address alone.
func TestAnswersOfUnknownAccountsCoverTheRing(t *testing.T) {
	asked := map[string]func(k int) (own int, turn uint64){
		"one daemon":           func(k int) (int, uint64) { return 3, uint64(k) },
		"all, after as many":   func(k int) (int, uint64) { return k, 5 },
		"all, in a later turn": func(k int) (int, uint64) { return k, 1 << 62 },
	}
	for _, size := range []int{1, 7, 64, 65, 87, 88, 128, 390} {
		fleet := vms(size, min(4, size))
		for name, question := range asked {
			named, first := make([]int, size), make([]int, size)
			told := 0
			for k := range size {
				own, turn := question(k)
				own = min(own, size-1)
				a := SelectForUnknownAccount(fleet, own, turn)
				told = len(a.VMs)
				must.Eq(t, min(size, anyTold), told)
				for _, i := range a.VMs {
					named[i]++
				}
				first[a.VMs[0]]++
			}
			for i := range fleet {
				must.Eq(t, told, named[i], must.Sprintf("%d VMs, %s: VM %d", size, name, i))
				must.Eq(t, 1, first[i], must.Sprintf("%d VMs, %s: VM %d", size, name, i))
			}
		}
	}
}

// A daemon that is leaving still answers. It names others, and does not begin with
// the same VM as every other daemon that leaves.
func TestLeavingDaemonSpreadsItsAnswersToo(t *testing.T) {
	fleet := vms(88, 4)
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

// A zone is lost while callers keep an answer, or VMs leave in turn. No more of an
// answer may go with a zone than of the fleet, and none of what went is named again.
func TestAnswersOfUnknownAccountsHoldTheZonesEvenly(t *testing.T) {
	for _, size := range []int{88, 390} {
		fleet := vms(size, 4)
		for zones := 4; zones > 1; zones-- {
			for own := range fleet {
				in := map[string]int{}
				for _, i := range SelectForUnknownAccount(fleet, own, 7).VMs {
					must.True(t, fleet[i].Usable)
					in[fleet[i].Zone]++
				}
				must.MapLen(t, zones, in)
				even := min(anyTold, size*zones/4) / zones
				for _, n := range in {
					must.Between(t, even-1, n, even+2)
				}
			}
			for i := range fleet {
				fleet[i].Usable = fleet[i].Usable && fleet[i].Zone != fmt.Sprint(zones-1)
			}
		}
	}
}
