// Package gossip holds a daemon's view of the other entry VMs and decides which of them it
// contacts. A Table is fed with records from other daemons, probe results, the platform's VM
// list and the time; it never sleeps, makes calls or logs.
//
// It handles 390 daemons that must learn within seconds which of them serve, leave or are
// dead, while each spends less than 2 KB/s on all of its control traffic. Probing every member
// from every member costs 152,000 probes per round; the VM list alone lags; and a random
// target in each round needs a new connection, several kilobytes with TLS, for almost every
// probe.
//
// Instead, each daemon probes a few fixed neighbours: its successors on several rings. A ring
// orders the members by a hash of the ring's number and the member's id, so every member is
// watched by exactly one predecessor per ring, whatever the number of members; with random
// choice, about one member in 150 would be unwatched at five choices each. Three rings run
// within the zone and two through all zones. The members of a zone watch each other closely,
// and the loss of a whole zone is still detected, because the rings close over its members as
// they are declared gone. Together the links form a random regular graph, on which an update
// reaches every member in a logarithmic number of hops.
//
// The protocol follows SWIM: a failed probe is repeated through other members before a member
// is suspected, a suspect has time to refute the claim, and a refutation carries a higher
// number than the claim. Gone is only this daemon's view and can be wrong, after a pause or a
// partition; no irreversible action may depend on it.
//
// Thresholds: with a ProbeInterval of 2 s and five neighbours each link is used every 10 s,
// and each member is probed every 2 s on average. The SuspicionTimeout of 5 s is longer than
// the few exchanges that a suspicion and its refutation need to cross the fleet, so that a
// lost packet or a garbage collection pause does not remove a member.
package gossip
