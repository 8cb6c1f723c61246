package control

import "fmt"

// The limits of a register.
const (
	maxScopes    = 1024 // the instance, and each host with an override
	maxResponses = 4096 // stored for repeats of their commands
)

// errOverrideLimit has a fixed text, because it is also the reply to a management call.
var errOverrideLimit = fmt.Errorf("words on %d hosts are held, no more can be", maxScopes)

// Register decides which commands an instance applies: each command once, and none after a command with a higher fence
// in the same scope. Drain and resume of the instance share one scope; the override of each host has its own.
//
// A Register is not safe for concurrent use.
type Register struct {
	incarnation    string
	scopes         map[string]scopeState // by host ID; "" is the instance
	responses      map[string]recordedResponse
	responseOrder  []string // keys of responses, oldest first
	manualCommands uint64   // number of calls of AcceptManual
}

// scopeState is the command in effect for a scope.
type scopeState struct {
	operation string
	fence     uint64
	kind      CommandKind
}

type recordedResponse struct {
	command  Command
	response Response
}

// Decision is the result of Accept.
type Decision struct {
	Response Response
	MustRun  bool   // the instance must apply the command now
	Rollback func() // undoes Accept; set whenever MustRun is, and valid until the register's next method call
}

// NewRegister returns an empty register for one incarnation of an instance.
func NewRegister(incarnation string) *Register {
	return &Register{
		incarnation: incarnation,
		scopes:      map[string]scopeState{},
		responses:   map[string]recordedResponse{},
	}
}

// responseKey identifies a command among the recorded responses.
func responseKey(c Command) string { return c.Operation + "\x00" + c.Host }

// Accept decides whether a command takes effect. An error means that the command is invalid, reuses an operation or a
// fence with different contents, or exceeds the number of hosts with an override.
func (r *Register) Accept(c Command) (Decision, error) {
	if err := c.Check(); err != nil {
		return Decision{}, err
	}
	key := responseKey(c)
	if recorded, ok := r.responses[key]; ok {
		if recorded.command != c {
			return Decision{}, fmt.Errorf("operation: %q was given with other contents before", c.Operation)
		}
		return Decision{Response: recorded.response}, nil
	}
	current, known := r.scopes[c.Host]
	switch {
	case !known && len(r.scopes) >= maxScopes:
		return Decision{}, fmt.Errorf("host: %w", errOverrideLimit)
	case known && c.Fence == current.fence:
		return Decision{}, fmt.Errorf("fence: %d is that of operation %q already", c.Fence, current.operation)
	case known && c.Fence < current.fence:
		response := Response{
			Verdict:     Rejected,
			Reason:      fmt.Sprintf("superseded by operation %s: its fence %d is above %d", current.operation, current.fence, c.Fence),
			Fence:       current.fence,
			Incarnation: r.incarnation,
		}
		r.record(key, c, response)
		return Decision{Response: response}, nil
	}
	r.scopes[c.Host] = scopeState{c.Operation, c.Fence, c.Kind}
	response := Response{Verdict: Done, Fence: c.Fence, Incarnation: r.incarnation}
	r.record(key, c, response)
	return Decision{
		Response: response,
		MustRun:  !known || current.kind != c.Kind || c.Kind == Drain, // a further drain may have another timeout
		Rollback: func() {
			r.restore(c.Host, current, known)
			delete(r.responses, key)
			r.responseOrder = r.responseOrder[:len(r.responseOrder)-1]
		},
	}, nil
}

// record stores a response for repeats of its command. At the limit it forgets the oldest response.
func (r *Register) record(key string, c Command, response Response) {
	if len(r.responseOrder) >= maxResponses {
		delete(r.responses, r.responseOrder[0])
		r.responseOrder = r.responseOrder[1:]
	}
	r.responses[key] = recordedResponse{c, response}
	r.responseOrder = append(r.responseOrder, key)
}

// AcceptManual puts a command without operation and fence in effect, after all earlier commands. It returns the command
// with a generated operation. The fence in effect stays the same, so that later commands with fences are neither
// rejected nor in conflict because of the manual command. rollback undoes AcceptManual if the instance fails to apply
// the command.
func (r *Register) AcceptManual(c Command) (full Command, rollback func(), err error) {
	current, known := r.scopes[c.Host]
	r.manualCommands++
	c.Operation = fmt.Sprintf("by-hand-%s-%d", r.incarnation, r.manualCommands)
	c.Fence = max(current.fence, 1)
	if err := c.Check(); err != nil {
		return c, nil, err
	}
	if !known && len(r.scopes) >= maxScopes {
		return c, nil, errOverrideLimit
	}
	r.scopes[c.Host] = scopeState{c.Operation, current.fence, c.Kind}
	return c, func() { r.restore(c.Host, current, known) }, nil
}

// restore resets a scope to its previous state.
func (r *Register) restore(host string, previous scopeState, known bool) {
	if !known {
		delete(r.scopes, host)
		return
	}
	r.scopes[host] = previous
}

// Current returns the operation in effect for the instance.
func (r *Register) Current() (operation string, fence uint64) {
	scope := r.scopes[""]
	return scope.operation, scope.fence
}
