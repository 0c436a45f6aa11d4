package prompts

// maxAsked is the largest fleet whose daemons ask each other before each prompt. An
// answer takes a round trip and 0.1 ms of both processors; with ten daemons that is as
// much as asking three engines for their reports, with ninety thirty times that.
const maxAsked = 10

// Asks reports whether a daemon asks the others of a fleet of so many daemons, itself
// counted, what they have under way before it places a prompt.
//
// Load it answers: prompts that arrive at a handful of daemons before two dozen engines
// which run one or two answers each. An engine that reads a prompt makes each answer there
// wait for most of the time that the prompt takes.
//
// Without it a daemon knows its own requests and the reports of the three engines that it
// asked, a tenth of a second old: every third prompt meets another at its engine, and nine
// of ten delay an answer. Six daemons before 24 engines: half of the answers are whole
// within 6.2 s (two trials) and nine of ten within 8.3 s, told by each other 5.8 and 7.6 s;
// of all answers 0.876 and 0.885 of what they are worth arrives (25 trials each, with the
// loss of a zone every 6.5 s and of all daemons at the end); probes 2,536 and 1,884.
func Asks(daemons int) bool { return daemons > 1 && daemons <= maxAsked }
