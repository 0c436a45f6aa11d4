package forward

// getOrCreate returns the state of a service, or of another key, and creates it empty if there is none. The caller
// holds the lock that guards states.
func getOrCreate[K comparable, T any](states map[K]*T, key K) *T {
	value, ok := states[key]
	if !ok {
		value = new(T)
		states[key] = value
	}
	return value
}
