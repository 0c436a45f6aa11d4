package slopes

func fleetExperiments() []Experiment { return nil }
