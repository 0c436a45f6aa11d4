// Package placement decides which order the holder of a zone's lease gives
// next, so that the zone's engines come to hold what the site text says.
// Plan compares observed with desired and returns one Step with its reason; it
// is asked again after each order and each new observation, and keeps nothing
// in between, so that a new holder goes on where the old one stopped.
//
// The load it answers: a version change or the loss of a rack asks for many
// fetches of tens of gigabytes at once, while callers go on being served by
// the engines that are to change. What goes wrong without it: all engines of a
// service reload together and the service is away for minutes; the weight
// store is saturated and every load takes ten times as long; a version that
// does not load takes the service down engine by engine.
//
// The rules, in this order:
//
//   - Dependencies first: a service is loaded once what it depends on serves.
//   - Make before break: a replica is loaded on a spare engine, or beside the
//     old version where the engine holds both; only where neither is possible
//     is an old version unloaded first, and then never below the floor.
//   - One change at a time: an order that takes room from a serving engine
//     waits until no other order is under way in the zone. Loads on empty
//     engines take nothing from anybody and run side by side, as far as the
//     weight store has room.
//   - A version that failed to load stops its own spread: engines that still
//     serve the old one are left alone until it loads somewhere.
//   - Nothing is unloaded for tidiness before everything wanted is ready.
//
// An engine that does not answer is doubtful at first and counts as coming,
// not as serving: replacing it at once would fetch weights for each short
// pause, and counting it as serving would let the floor be broken.
package placement
