package measure

import "time"

// Deployment is one of the users' places, at its size of today.
type Deployment struct {
	Name string
	// Workload is the file of its load.
	Workload string
	Domains  []string
	// Group and Model are what its engines serve.
	Group, Model string
	Engines      int
	// Services is the replicas of its plain service, in ServiceGroup.
	Services     int
	ServiceGroup string
	Entries      int
	// Crossing is the time between failure domains, one way.
	Crossing time.Duration
	// LoadsAtOnce is how many replicas load weights at full speed.
	LoadsAtOnce int
}

// Deployments are the two of the users' brief.
var Deployments = []Deployment{
	{
		Name: "huon", Workload: "examples/workloads/huon.json",
		Domains: []string{"hobart-a", "kingston-b", "huonville-c"},
		Group:   "ledger-llm", Model: "ledger-llm", Engines: 18,
		Services: 3, ServiceGroup: "client-portal", Entries: 3,
		Crossing: 1500 * time.Microsecond, LoadsAtOnce: 3,
	},
	{
		Name: "nakhla", Workload: "examples/workloads/nakhla.json",
		Domains: []string{"sfax-a", "sfax-b", "sfax-c", "sfax-d"},
		Group:   "wahj-llm", Model: "wahj-llm", Engines: 12,
		Services: 4, ServiceGroup: "bab-app", Entries: 4,
		Crossing: 500 * time.Microsecond, LoadsAtOnce: 2,
	},
}
