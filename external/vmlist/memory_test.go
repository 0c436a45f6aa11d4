package vmlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/vmlist"
)

// A VM starts to leave and is then removed. The changes become visible after the lag and in order,
// although the lag of the second change is shorter.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := vmlist.VM{ID: "a", State: vmlist.Live}
		m := vmlist.NewMemory(10*time.Second, vm)
		states := func() (states []vmlist.State) {
			list, err := m.List(t.Context())
			must.NoError(t, err)
			for _, vm := range list {
				states = append(states, vm.State)
			}
			return states
		}
		vm.State = vmlist.Leaving
		m.Put(vm)
		m.SetLag(time.Second)
		m.Remove("a")
		time.Sleep(5 * time.Second)
		must.Eq(t, []vmlist.State{vmlist.Live}, states())
		_, ok := m.Latest("a")
		must.False(t, ok)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, states())
		m.SetDown(true)
		_, err := m.List(t.Context())
		must.ErrorIs(t, err, vmlist.ErrDown)
	})
}
