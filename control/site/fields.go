package site

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inifile"
)

// Bounds of values. They catch slips such as a missing unit; they are far
// beyond what the system is sized for.
const (
	mostReplicas   = 100_000
	mostSlots      = 10_000
	mostTokens     = 10_000_000
	mostBodyBytes  = 256 << 20
	mostShare      = 1_000_000
	mostTokensPerS = 1e9
	longestWait    = 24 * time.Hour
	shortestWait   = 10 * time.Millisecond
	shortestTTL    = time.Second
)

// Defaults of keys that a section leaves out.
const (
	defaultSlots     = 32
	defaultMaxTokens = 4096
	defaultDeadline  = 30 * time.Second
)

func newService(name string) *Service {
	return &Service{
		Name: name, Replicas: map[string]int{}, Class: ClassNormal, Deadline: defaultDeadline,
		Idempotent: true, LatencyWeight: 0.5, MaxTokens: defaultMaxTokens,
	}
}

func newPool(name string) *Pool { return &Pool{Name: name, Fencing: true, Slots: defaultSlots} }

func newAccount(name string) *Account { return &Account{Name: name, Share: 1} }

var siteFields = []inifile.Field[Site]{
	{Name: "name", Required: true, Help: "name of the site, the same in every daemon's settings", Set: setSiteName},
	{Name: "zones", Required: true, Help: "availability zones, comma-separated", Set: setZones},
}

var limitFields = []inifile.Field[Limits]{
	{Name: "body_bytes", Default: "4194304", Help: "largest request body in bytes", Set: setBodyBytes},
	{Name: "answer_ttl", Default: "10m0s", Help: "how long a finished answer stays owed to its caller", Set: setTTL(func(l *Limits) *time.Duration { return &l.AnswerTTL })},
	{Name: "entries_ttl", Default: "30s", Help: "how long a caller may keep the addresses of entry VMs", Set: setTTL(func(l *Limits) *time.Duration { return &l.EntriesTTL })},
	{Name: "key_ttl", Default: "2h0m0s", Help: "how long an idempotency key is remembered", Set: setTTL(func(l *Limits) *time.Duration { return &l.KeyTTL })},
}

var poolFields = []inifile.Field[Pool]{
	{Name: "fencing", Default: "yes", Help: "whether its engines refuse orders with an old fencing number", Set: setFencing},
	{Name: "slots", Default: "32", Help: "most requests that one backend server is given at once", Set: setSlots},
}

var accountFields = []inifile.Field[Account]{
	{Name: "token_hashes", Required: true, Secret: true, Help: "lower-case hex SHA-256 of each bearer token, comma-separated", Set: setTokenHashes},
	{Name: "share", Default: "1", Help: "weight in fair sharing", Set: setShare},
	{Name: "tokens_per_second", Default: "0", Help: "limit over all entry VMs, 0 for none", Set: setTokensPerS},
}

var serviceFields = []inifile.Field[Service]{
	{Name: "kind", Required: true, Help: "generation (model engines) or plain (HTTP services)", Set: setKind},
	{Name: "pool", Required: true, Help: "pool of backend servers that runs it", Set: setPool},
	{Name: "model", Help: "model that its engines load; required for kind generation", Set: setModel},
	{Name: "adapter", Help: "adapter on top of the model", Set: setAdapter},
	{Name: "version", Help: "version of model and adapter", Set: setVersion},
	{Name: "replicas.", Help: "wanted ready replicas in the zone that follows the dot", Set: setReplicas},
	{Name: "floor", Default: "0", Help: "ready replicas per zone that a planned change never gives up", Set: setFloor},
	{Name: "class", Default: "normal", Help: "urgent, normal or long", Set: setClass},
	{Name: "deadline", Default: "30s", Help: "longest wait for the first token or the answer", Set: setDeadline},
	{Name: "depends_on", Help: "services that must be ready first, comma-separated", Set: setDependsOn},
	{Name: "repeatable", Default: "yes", Help: "whether running a call twice does no harm", Set: setRepeatable},
	{Name: "latency_weight", Default: "0.5", Help: "resume latency (1) against extra resources (0)", Set: setLatencyWeight},
	{Name: "max_tokens", Default: "4096", Help: "largest answer in tokens", Set: setMaxTokens},
}

// Reference returns every section and key, for the reference page.
func Reference() []inifile.Row {
	return slices.Concat(
		inifile.Rows("site", siteFields),
		inifile.Rows("limits", limitFields),
		inifile.Rows("pool NAME", poolFields),
		inifile.Rows("service NAME", serviceFields),
		inifile.Rows("account NAME", accountFields),
	)
}

func setSiteName(to *Site, _, value string) error { return setName(&to.Name, value) }

func setZones(to *Site, _, value string) error {
	to.Zones = inifile.List(value)
	if len(to.Zones) == 0 {
		return errors.New("write at least one zone")
	}
	sorted := slices.Sorted(slices.Values(to.Zones))
	if len(slices.Compact(sorted)) != len(to.Zones) {
		return errors.New("write each zone once")
	}
	return nil
}

func setBodyBytes(to *Limits, _, value string) (err error) {
	to.BodyBytes, err = inifile.Int(value, 1, mostBodyBytes)
	return err
}

func setTTL(field func(*Limits) *time.Duration) func(*Limits, string, string) error {
	return func(to *Limits, _, value string) (err error) {
		*field(to), err = inifile.Duration(value, shortestTTL, longestWait)
		return err
	}
}

func setFencing(to *Pool, _, value string) (err error) {
	to.Fencing, err = inifile.Bool(value)
	return err
}

func setSlots(to *Pool, _, value string) error {
	n, err := inifile.Int(value, 1, mostSlots)
	to.Slots = int(n)
	return err
}

func setTokenHashes(to *Account, _, value string) error {
	to.TokenHashes = inifile.List(value)
	if len(to.TokenHashes) == 0 || slices.ContainsFunc(to.TokenHashes, func(h string) bool { return !inifile.IsTokenHash(h) }) {
		return errors.New("write 64 lower-case hex digits for each: the SHA-256 of the token, not the token")
	}
	return nil
}

func setShare(to *Account, _, value string) (err error) {
	to.Share, err = inifile.Float(value, 0.001, mostShare)
	return err
}

func setTokensPerS(to *Account, _, value string) (err error) {
	to.TokensPerSecond, err = inifile.Float(value, 0, mostTokensPerS)
	return err
}

func setKind(to *Service, _, value string) (err error) {
	to.Kind, err = inifile.OneOf(value, KindGeneration, KindPlain)
	return err
}

func setName(to *string, value string) error {
	if !inifile.IsName(value) {
		return errors.New("write letters, digits, '.', '_' and '-', beginning with a letter or digit")
	}
	*to = value
	return nil
}

func setPool(to *Service, _, value string) error    { return setName(&to.Pool, value) }
func setModel(to *Service, _, value string) error   { return setName(&to.Model, value) }
func setAdapter(to *Service, _, value string) error { return setName(&to.Adapter, value) }
func setVersion(to *Service, _, value string) error { return setName(&to.Version, value) }

func setReplicas(to *Service, zone, value string) error {
	n, err := inifile.Int(value, 0, mostReplicas)
	to.Replicas[zone] = int(n)
	return err
}

func setFloor(to *Service, _, value string) error {
	n, err := inifile.Int(value, 0, mostReplicas)
	to.Floor = int(n)
	return err
}

func setClass(to *Service, _, value string) (err error) {
	to.Class, err = inifile.OneOf(value, ClassUrgent, ClassNormal, ClassLong)
	return err
}

func setDeadline(to *Service, _, value string) (err error) {
	to.Deadline, err = inifile.Duration(value, shortestWait, longestWait)
	return err
}

func setDependsOn(to *Service, _, value string) error {
	to.DependsOn = inifile.List(value)
	return nil
}

func setRepeatable(to *Service, _, value string) (err error) {
	to.Idempotent, err = inifile.Bool(value)
	return err
}

func setLatencyWeight(to *Service, _, value string) (err error) {
	to.LatencyWeight, err = inifile.Float(value, 0, 1)
	return err
}

func setMaxTokens(to *Service, _, value string) error {
	n, err := inifile.Int(value, 1, mostTokens)
	to.MaxTokens = int(n)
	return err
}
