package control

// InstanceState is the state of an instance.
type InstanceState string

// The states of an instance.
const (
	Serving  InstanceState = "serving"
	Draining InstanceState = "draining" // admits nothing new; connections are established or requests in flight
	Drained  InstanceState = "drained"  // admits nothing new; no connections, no requests
	Stopping InstanceState = "stopping" // its process ends
)

// Status is the state of an instance and what it counts.
type Status struct {
	Name           string              `json:"name"`
	Incarnation    string              `json:"boot"` // differs for each start of the instance
	State          InstanceState       `json:"state"`
	Operation      string              `json:"operation,omitempty"` // in effect for the instance
	Fence          uint64              `json:"fence"`
	InFlight       int64               `json:"owed"` // requests without a final answer
	Established    int64               `json:"open"` // connections
	UptimeSeconds  float64             `json:"up_s"`
	Revision       int64               `json:"revision"` // of the endpoint list
	List           *ListStatus         `json:"list,omitempty"`
	Hosts          []HostStatus        `json:"hosts,omitempty"`
	RuleViolations uint64              `json:"broken_rules,omitempty"` // counted by package invariant
	Abandoned      []AbandonedRequests `json:"given_up,omitempty"`     // rejected or failed requests
	Serial         uint64              `json:"serial"`                 // always 0: a key that readers of the JSON know
}

// HostStatus is the state of a host as an instance sees it.
type HostStatus struct {
	ID          string `json:"id"`
	State       string `json:"state"` // live, draining or gone
	Overridden  bool   `json:"word"`  // by an operator
	Connections int    `json:"open"`  // established by this instance
}

// ListStatus says where an instance with cold start has its endpoint list from.
type ListStatus struct {
	State                  string  `json:"state"`            // none, old or current
	Source                 string  `json:"source,omitempty"` // file, folder, peer or service
	AgeSeconds             float64 `json:"age_s"`            // since the list service sent or confirmed it
	ListRequests           int     `json:"calls"`            // to the list service
	Failed                 int     `json:"failed"`           // calls that failed or broke off
	NextListRequestSeconds float64 `json:"next_call_s"`      // 0 where none is planned
}

// AbandonedRequests counts the requests that were rejected or failed for one reason.
type AbandonedRequests struct {
	Reason   string `json:"why"`
	Requests int    `json:"requests"`
}
