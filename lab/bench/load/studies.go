package load

// studies lists the experiments beside the scenarios.
func studies() []study {
	return []study{
		{"scale", "How evenly 390 daemons spread over 1,900 replicas, by the size of their subsets.", studyScale},
		{"account_limit", "What an account gets of its limit through several entry VMs without coordination.", studyAccountLimit},
		{"entries", "How evenly accounts load the entry VMs, and what a kept answer costs when VMs go.", studyEntries},
		{"loading", "Waiting for a model that is loading against sending work elsewhere.", studyLoading},
	}
}
