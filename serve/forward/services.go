package forward

// getOrCreate returns the state of a service, which it creates empty if there is none. The caller
// holds the lock that guards states.
func getOrCreate[T any](states map[string]*T, service string) *T {
	value, ok := states[service]
	if !ok {
		value = new(T)
		states[service] = value
	}
	return value
}
