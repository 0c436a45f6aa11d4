package forward

// getOrCreate returns what is kept of a service, empty where nothing was kept yet. The
// caller holds the lock of kept.
func getOrCreate[T any](kept map[string]*T, service string) *T {
	one, ok := kept[service]
	if !ok {
		one = new(T)
		kept[service] = one
	}
	return one
}
