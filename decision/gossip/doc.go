// Package gossip decides whom a daemon talks to and what it believes of the
// other entry VMs. A Table is fed with records from others, results of probes,
// the platform's VM list and the time; it never sleeps, calls or logs.
//
// The load it answers: 390 daemons must know within seconds who serves, who
// leaves and who is dead, while each spends less than 2 KB/s on all of its
// control traffic. Everybody probing everybody costs 152,000 probes a round;
// the VM list alone lags; a random target each round means a new connection,
// with TLS several kilobytes, for almost every probe.
//
// What it does instead: each daemon probes few fixed neighbours, its
// successors on several rings. A ring orders the members by a hash of the
// ring's number and the member's id, so every member is watched by exactly one
// predecessor per ring, whatever the number of members; random choice would
// leave about one in 150 unwatched at five choices each. Three rings run
// within the zone, two through all zones: a zone's members watch each other
// closely, and a zone that dies whole is still seen, because the rings close
// over it as its members are given up. The links together form a random
// regular graph, on which news reaches everybody in a logarithmic number of
// hops.
//
// The belief follows SWIM: a failed probe is repeated through others before
// anyone is suspected, a suspect has time to contradict, and a contradiction
// carries a higher number than the claim. Gone is a belief and may turn out
// wrong, after a pause or a partition; nothing irreversible may hang on it.
//
// Thresholds: with Interval 2 s and five neighbours each link is used every
// 10 s and each member probed every 2 s on average. Suspicion is 5 s, longer
// than the few exchanges that a suspicion and its refutation need to cross the
// fleet, so that a lost packet or a collection of garbage costs no member.
package gossip
