// Package placement decides which order the holder of a zone's lease gives to an engine next, so
// that the models on the zone's engines converge to the site configuration. Plan compares the
// observed with the desired state and returns one Step with its reason. It is called again after
// each order and each new observation, and is stateless, so that a new lease holder continues where
// the previous one stopped.
//
// Load pattern: a version change or the loss of a rack requires many loads of tens of gigabytes at
// once, while the engines that have to change still serve callers. Without it, all engines of a
// service reload together and the service is unavailable for minutes; the weight store is saturated
// and every load takes ten times as long; and a version that fails to load takes the service down
// engine by engine.
//
// The rules, in order of precedence:
//
//   - Dependencies first: a service is loaded only after the services it depends on are serving.
//   - Load before unload: a replica is loaded on a spare engine, or beside the old version if the
//     engine has capacity for both. Only if neither is possible is an old version unloaded first,
//     and then never below the floor.
//   - One change at a time: an order that takes capacity from a serving engine waits until no other
//     order is in progress in the zone. Loads on empty engines take no serving capacity and run in
//     parallel, up to the capacity of the weight store.
//   - A version that failed to load is not rolled out further: engines that still serve the old
//     version keep it until the new one has loaded somewhere.
//   - Models that no service uses are unloaded only after everything desired is ready.
//
// An engine that doesn't answer is suspect at first and counts as pending, not as serving. Replacing
// it at once would load weights again after each short pause, and counting it as serving would allow
// the service to fall below its floor.
package placement
