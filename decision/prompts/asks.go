package prompts

// maxAsked is the largest fleet whose daemons ask each other before each prompt: the questions
// grow with its square.
const maxAsked = 10

// ShouldPollPeers reports whether a daemon asks the others of a fleet of so many daemons, itself
// counted, what they have under way before it places a prompt.
//
// Load it answers: prompts that arrive at a handful of daemons before two dozen engines
// which run one or two answers each. An engine that reads a prompt makes each answer there
// wait for most of the time that the prompt takes.
//
// Without it a daemon knows its own requests and the reports of the three engines that it
// asked, a tenth of a second old: every third prompt meets another at its engine, and nine
// of ten delay an answer.
func ShouldPollPeers(daemons int) bool { return daemons > 1 && daemons <= maxAsked }
