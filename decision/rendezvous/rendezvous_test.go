package rendezvous

import (
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func members(n int) []uint64 {
	m := make([]uint64, n)
	for i := range m {
		m[i] = route.Mix(uint64(i))
	}
	return m
}

func TestNearestWithoutMembers(t *testing.T) {
	must.SliceEmpty(t, Select(1, nil, 2))
	must.SliceEmpty(t, Select(1, members(3), 0))
	must.SliceLen(t, 3, Select(1, members(3), 5))
}

func TestFirstOfSeveralIsTheNearest(t *testing.T) {
	all := members(40)
	for key := range uint64(200) {
		must.Eq(t, Select(key, all, 1)[0], Select(key, all, 3)[0])
	}
}

// A member that leaves changes the keys that were its own and no others.
func TestMemberThatLeavesMovesItsOwnKeysOnly(t *testing.T) {
	all := members(40)
	for key := range uint64(500) {
		before, after := Select(key, all, 2), Select(key, all[:39], 2)
		if before[0] != 39 && before[1] != 39 {
			must.Eq(t, before, after)
		}
	}
}
