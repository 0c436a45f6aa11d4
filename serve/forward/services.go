package forward

// getOrCreate returns what is kept of a service, empty where nothing was kept yet. The
// caller holds the lock of kept.
func getOrCreate[T any](states map[string]*T, service string) *T {
	value, ok := states[service]
	if !ok {
		value = new(T)
		states[service] = value
	}
	return value
}
