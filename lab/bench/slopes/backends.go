package slopes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/lab/report"
)

// daemonsOfFleet is the number of daemons in the VM list beside the replicas
// that a slope varies.
const daemonsOfFleet = 390

var replicaSizes = []int{200, 500, 1000, 1500, 1900}

// backendExperiments are what knowing the backend servers costs a daemon.
func backendExperiments() []Experiment {
	vms := report.Col("VMs", "")
	return []Experiment{
		{
			X: report.Col("backend servers", ""), Sizes: replicaSizes,
			Quantities: []Quantity{{
				"backends_known", "Backend servers that one of 390 daemons in 7 zones knows, of 15 pools.", report.Col("known", "known"),
			}},
			Run: one(backendsKnown),
		},
		{
			X: vms, Sizes: replicaSizes,
			Quantities: []Quantity{
				{"vm_list_bytes", "One whole read of the VM list on the wire, compressed as the client asks for, by its rows.", report.Col("bytes", "B")},
				{"vm_list_cpu", "Decoding the VM list and taking it in for the first time, by its rows.", report.Col("CPU", "µs")},
				{"backends_memory", "Heap of the backend servers known and the VM list, by the list's rows.", report.Col("heap", "KB")},
			},
			Run: listCost,
		},
		{
			X: report.Col("polls", ""), Sizes: []int{500, 1000, 2000, 4000},
			Quantities: []Quantity{
				{"status_poll_bytes", "Status polls of a stand-in engine over HTTP on loopback; bytes of both directions.", report.Col("bytes", "B")},
				{"status_poll_cpu", "Status polls of a stand-in engine over HTTP on loopback; processor time of both ends.", report.Col("CPU", "µs")},
			},
			Run: poll,
		},
	}
}

// manager returns a Manager that reads list and polls nothing.
func manager(list vmlist.Source) *backends.Manager {
	return backends.NewManager(backends.Deps{
		Self: "entry-0000", Zone: zoneOf(0), VMs: list,
		Engine:   func(string) engine.Engine { return nil },
		PoolKind: func(string) backends.Kind { return backends.KindPlain },
	})
}

// listPoll is how often a Manager is looked at for having taken the list in;
// taking it in needs milliseconds.
const listPoll = 100 * time.Microsecond

// knowing returns a Manager that has read list once.
func knowing(ctx context.Context, list vmlist.Source) (*backends.Manager, error) {
	m := manager(list)
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan error, 1)
	go func() { stopped <- m.Run(ctx) }()
	deadline := time.Now().Add(startLimit)
	for m.Current().Version == 0 && time.Now().Before(deadline) {
		time.Sleep(listPoll)
	}
	cancel()
	<-stopped
	if m.Current().Version == 0 {
		return nil, errors.New("the VM list was not taken in")
	}
	return m, nil
}

func backendsKnown(ctx context.Context, n int, _ *rand.Rand) (float64, error) {
	m, err := knowing(ctx, fixedList(fleet(daemonsOfFleet, n)))
	if err != nil {
		return 0, err
	}
	known := 0
	for _, pool := range m.Current().Pools {
		known += len(pool)
	}
	return float64(known), nil
}

// decoded is a VM list that is decoded at each read, as a client's is.
type decoded struct{ text []byte }

// List implements vmlist.Source.
func (d decoded) List(context.Context) ([]vmlist.VM, error) {
	var vms []vmlist.VM
	err := json.Unmarshal(d.text, &vms)
	return vms, err
}

// listCost is that of a first reading, every entry of which is new. A sixth of
// the rows are daemons, as in the fleet to come.
func listCost(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	rows := fleet(n/6, n-n/6)
	text, err := json.Marshal(rows)
	if err != nil {
		return nil, err
	}
	sent, err := listBytes(ctx, rows)
	if err != nil {
		return nil, err
	}
	cpu, err := cpuPerCall(func() error {
		_, err := knowing(ctx, decoded{text})
		return err
	})
	if err != nil {
		return nil, err
	}
	heap, err := heapOf(func() (any, error) { return knowing(ctx, decoded{text}) })
	return []float64{sent, cpu / 1000, heap / 1000}, err
}

// listBytes is what one whole read of the list takes, both ways.
func listBytes(ctx context.Context, rows []vmlist.VM) (float64, error) {
	server, counter := serve(vmlist.Handler(vmlist.NewMemory(0, rows...)))
	defer server.Close()
	got, err := vmlist.NewClient(server.URL, nil).List(ctx)
	if err == nil && len(got) != len(rows) {
		err = errors.Errorf("%d of %d rows", len(got), len(rows))
	}
	return float64(counter.bytes.Load()), err
}

// poll asks an engine that holds one model n times.
func poll(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	sim := enginesim.New(enginesim.Config{Name: "engine", Models: []engine.ModelRef{{Model: modelOf(0), Version: "1"}}})
	server, counter := serve(enginesim.Handler(sim))
	defer server.Close()
	client := engine.NewClient(server.URL, &http.Client{Timeout: 10 * time.Second})
	if _, err := client.Status(ctx); err != nil {
		return nil, err
	}
	before := counter.bytes.Load()
	used, err := cpuOf(func() error {
		return repeat(n, func() error {
			_, err := client.Status(ctx)
			return err
		})
	})
	return []float64{float64(counter.bytes.Load() - before), float64(used.Microseconds())}, err
}
