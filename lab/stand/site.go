package stand

import "slices"

// DemoToken is the bearer token of the demo's one client account.
const DemoToken = "demo-token"

// DemoText is the default site text: the Association's services, scaled down to six engines.
const DemoText = `# The Association's services, scaled down to six engines.
[site]
name = demo
zones = Rufisque, Pikine, Plateau

[pool engines]
fencing = yes
slots = 16

[pool desks]
slots = 16

[service reviews]
kind = generation
pool = engines
model = granulator
version = 1
replicas.Rufisque = 2
replicas.Pikine = 2
replicas.Plateau = 2
floor = 1
class = long
deadline = 30s
repeatable = yes
latency_weight = 0.5
max_tokens = 2000

[service orders]
kind = generation
pool = engines
model = granulator
version = 1
replicas.Rufisque = 2
replicas.Pikine = 2
replicas.Plateau = 2
floor = 1
class = urgent
deadline = 2s
repeatable = yes
latency_weight = 1
max_tokens = 64

[service confirmations]
kind = plain
pool = desks
replicas.Rufisque = 1
class = urgent
deadline = 2s
repeatable = no

[account cooperative]
token_hashes = 7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c
share = 1

[limits]
entries_ttl = 2s
answer_ttl = 1m
`

const demoSite = "demo"

var demoZones = []string{"Rufisque", "Pikine", "Plateau"}

// DemoZones returns the availability zones of DemoText.
func DemoZones() []string { return slices.Clone(demoZones) }
