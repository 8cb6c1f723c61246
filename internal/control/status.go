package control

// InstanceState is the state of an instance.
type InstanceState string

// The states of an instance.
const (
	Serving  InstanceState = "serving"
	Draining InstanceState = "draining" // admits no new requests; connections are established or requests in flight
	Drained  InstanceState = "drained"  // admits no new requests; no connection is established and no request in flight
	Stopping InstanceState = "stopping" // the process exits
)

// Status is the state of an instance, with its counters.
type Status struct {
	// Identity, state and the command in effect.
	Name        string        `json:"name"`
	Incarnation string        `json:"boot"` // differs between starts of the instance
	State       InstanceState `json:"state"`
	Operation   string        `json:"operation,omitempty"` // the operation in effect for the instance
	Fence       uint64        `json:"fence"`

	// Requests and connections.
	InFlight    int64 `json:"owed"` // requests without a final answer
	Established int64 `json:"open"` // established connections

	UptimeSeconds float64 `json:"up_s"`

	// The endpoint list and its hosts.
	Revision int64        `json:"revision"` // of the endpoint list
	List     *ListStatus  `json:"list,omitempty"`
	Hosts    []HostStatus `json:"hosts,omitempty"`

	// Rule violations and abandoned requests.
	RuleViolations uint64              `json:"broken_rules,omitempty"` // violations that package invariant has counted
	Abandoned      []AbandonedRequests `json:"given_up,omitempty"`     // rejected and failed requests, by reason

	Serial uint64 `json:"serial"` // always 0: readers of the JSON expect the key
}

// HostStatus is the state of a host as an instance sees it.
type HostStatus struct {
	ID          string `json:"id"`
	State       string `json:"state"` // live, draining or gone
	Overridden  bool   `json:"word"`  // an operator has overridden the state
	Connections int    `json:"open"`  // connections that this instance has established
}

// ListStatus describes the endpoint list of an instance with cold start: its source, its age and the list requests.
type ListStatus struct {
	State                  string  `json:"state"`            // none, old or current
	Source                 string  `json:"source,omitempty"` // file, folder, peer or service
	AgeSeconds             float64 `json:"age_s"`            // since discovery sent or confirmed the list
	ListRequests           int     `json:"calls"`            // list requests sent to discovery
	Failed                 int     `json:"failed"`           // list requests that failed or were cut off
	NextListRequestSeconds float64 `json:"next_call_s"`      // until the next list request; 0 if none is planned
}

// AbandonedRequests is the number of requests that were rejected or failed for one reason.
type AbandonedRequests struct {
	Reason   string `json:"why"`
	Requests int    `json:"requests"`
}
