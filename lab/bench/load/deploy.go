package load

import (
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/bench/physics"
)

// usualSlots is the operators' bound on one backend server: the largest batch
// whose token gap stays clearly below 30 ms while prefills run. The study "slots"
// shows what other bounds give: more slots carry more tokens a second, and every
// stream is slower.
const usualSlots = 20

// The pools of both deployments.
const (
	poolLong = "generation" // reviews or drafts
	poolDesk = "desk"       // order or yard desk
)

// kind is one sort of request.
type kind struct {
	service        *site.Service
	prompt, answer int     // mean tokens
	share          float64 // of the tokens offered to the pool
}

// deployment is one user's places and services at the sizes that the user states.
type deployment struct {
	name     string
	zones    []string
	daemons  []int // entry VMs by zone
	pools    map[string]int
	client   time.Duration // one way between callers and entry VMs
	accounts int
	slots    int // operators' bound on one backend server
	engines  physics.Engine
	kinds    []kind
}

func service(name, pool string, class site.Class, patience time.Duration) *site.Service {
	return &site.Service{
		Name: name, Kind: site.KindGeneration, Pool: pool, Model: pool, Version: "1",
		Class: class, Deadline: patience, Idempotent: true,
	}
}

// Deployments by name.
var deployments = map[string]deployment{
	"association": {
		name:    "association",
		zones:   []string{"rufisque", "pikine", "plateau"},
		daemons: []int{2, 2, 2},
		pools:   map[string]int{poolLong: 36, poolDesk: 3},
		client:  3 * time.Millisecond, accounts: 10, slots: usualSlots,
		kinds: []kind{
			{service("review", poolLong, site.ClassLong, 60*time.Second), 3000, 1200, 0.70},
			{service("summary", poolLong, site.ClassNormal, 10*time.Second), 800, 300, 0.20},
			{service("question", poolLong, site.ClassUrgent, 2*time.Second), 150, 40, 0.10},
			{service("order", poolDesk, site.ClassUrgent, 2*time.Second), 100, 30, 1},
		},
	},
	"tharaka": {
		name:    "tharaka",
		zones:   []string{"embakasi", "athi-river", "ruiru"},
		daemons: []int{3, 2, 2},
		pools:   map[string]int{poolLong: 18, poolDesk: 3},
		client:  time.Millisecond, accounts: 10, slots: usualSlots,
		kinds: []kind{
			{service("contract", poolLong, site.ClassLong, 60*time.Second), 2500, 900, 0.30},
			{service("draft", poolLong, site.ClassNormal, 10*time.Second), 800, 350, 0.60},
			{service("question", poolLong, site.ClassUrgent, 2*time.Second), 150, 40, 0.10},
			{service("yard", poolDesk, site.ClassUrgent, 2*time.Second), 100, 30, 1},
		},
	},
}

// deploymentNamed returns a deployment of the names above.
func deploymentNamed(name string) (deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return d, errors.Errorf("deployment %q is none of association, tharaka", name)
	}
	d.engines = physics.SeparatePrefill
	return d, nil
}

// text is the site that the product's daemons act on.
func (d deployment) text() *site.Site {
	s := &site.Site{
		Name: d.name, Revision: 1, Zones: d.zones, Limits: site.DefaultLimits(),
		Services: map[string]*site.Service{}, Pools: map[string]*site.Pool{},
		Accounts: map[string]*site.Account{},
	}
	for pool := range d.pools {
		s.Pools[pool] = &site.Pool{Name: pool, Slots: d.slots}
	}
	for _, k := range d.kinds {
		s.Services[k.service.Name] = k.service
	}
	for i := range d.accounts {
		name := fmt.Sprintf("account-%02d", i)
		s.Accounts[name] = &site.Account{Name: name, Share: 1}
	}
	return s
}

// nominal is the rough rate of answer tokens a second of one pool, from the
// engine's figures. It only sets the load of the run that measures capacity.
func (d deployment) nominal(pool string) float64 {
	prompt, answer := 0.0, 0.0
	for _, k := range d.kinds {
		if k.service.Pool == pool {
			prompt += k.share * float64(k.prompt) / float64(k.answer)
			answer += k.share
		}
	}
	return float64(d.pools[pool]) * d.engines.AnswerTokensPerSecond(d.slots, prompt, answer)
}

// meanAnswer is the mean of answer tokens over the requests of a kind, given
// the spread that arrivals draw.
func (k kind) meanAnswer() float64 { return float64(k.answer) }

// drawn scales a mean by an exponential draw bounded to a fifth and four times.
func drawn(mean int, exp float64) int {
	return max(1, int(math.Round(float64(mean)*min(max(exp, 0.2), 4))))
}
