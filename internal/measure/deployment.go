package measure

import "time"

// Deployment describes a deployment and its size.
type Deployment struct {
	Name string
	// Workload is the path of its workload file.
	Workload string
	Domains  []string
	// Group is the group of its engines, Model the model that they serve.
	Group, Model string
	Engines      int
	// Services is the number of replicas of its plain service, in ServiceGroup.
	Services     int
	ServiceGroup string
	Entries      int
	// DomainLatency is the one-way latency between failure domains.
	DomainLatency time.Duration
	// ConcurrentLoads is how many replicas can load weights at full speed.
	ConcurrentLoads int
}

// Deployments are the two deployments that users run today.
var Deployments = []Deployment{
	{
		Name: "huon", Workload: "examples/workloads/huon.json",
		Domains: []string{"hobart-a", "kingston-b", "huonville-c"},
		Group:   "ledger-llm", Model: "ledger-llm", Engines: 18,
		Services: 3, ServiceGroup: "client-portal", Entries: 3,
		DomainLatency: 1500 * time.Microsecond, ConcurrentLoads: 3,
	},
	{
		Name: "nakhla", Workload: "examples/workloads/nakhla.json",
		Domains: []string{"sfax-a", "sfax-b", "sfax-c", "sfax-d"},
		Group:   "wahj-llm", Model: "wahj-llm", Engines: 12,
		Services: 4, ServiceGroup: "bab-app", Entries: 4,
		DomainLatency: 500 * time.Microsecond, ConcurrentLoads: 2,
	},
}
