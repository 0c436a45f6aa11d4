package prompts

// maxPolledFleetSize is the largest fleet whose daemons poll each other before each prompt: the
// number of calls grows with the square of the fleet size.
const maxPolledFleetSize = 10

// ShouldPollPeers reports whether a daemon polls the others for their requests in flight before it
// places a prompt. daemons is the size of the fleet, this daemon included.
//
// Load pattern: a handful of daemons send prompts to two dozen engines, each of which runs one or
// two answers. An engine that prefills a prompt stalls its running answers for most of the prefill.
//
// Without it, a daemon knows only its own requests and the reports of the three engines it queried,
// which are a tenth of a second old. Every third prompt then meets another one at its engine, and
// nine of ten delay an answer.
func ShouldPollPeers(daemons int) bool { return daemons > 1 && daemons <= maxPolledFleetSize }
