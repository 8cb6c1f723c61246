package simadapter

import (
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
)

var outcomes = map[string]balancer.Outcome{
	"served":          balancer.Served,
	"server_error":    balancer.Errored,
	"turned_away":     balancer.Rejected,
	"no_answer":       balancer.ResponseTimeout,
	"no_connection":   balancer.ConnectFailed,
	"connection_lost": balancer.ConnectionReset,
	"called_off":      balancer.Cancelled,
	"not_sent":        balancer.NotSent,
}

var serverStates = map[string]balancer.ServerState{
	"live":      balancer.Live,
	"quiescing": balancer.Draining,
	"dead":      balancer.Removed,
}

var listKinds = map[string]balancer.ListKind{
	"update":      balancer.ListDelta,
	"replace":     balancer.ListSnapshot,
	"restored":    balancer.ListCached,
	"unavailable": balancer.ListFailed,
}

// event is a decoded event. It has the fields of all kinds of events; present is the set of those that the event has.
type event struct {
	present fieldSet

	// Requests.
	id        string
	class     int
	tenant    int
	key       string
	group     string
	timeLeft  time.Duration
	load      float64
	retry     bool
	midFlow   bool
	reconnect bool

	// Attempts.
	server  balancer.ServerID
	attempt int
	outcome balancer.Outcome
	took    time.Duration
	final   bool

	// Reports on established connections.
	reportKind int
	report     float64

	timerToken string

	// Server lists.
	revision   int64
	listNumber int
	listMode   string
	servers    []balancer.Server

	// Start of an instance.
	seed     uint64
	settings jx.Raw

	// Messages of other instances.
	peer    int
	message []byte
}

// eventField numbers the fields of an event. If several are missing, the first in this order is reported.
type eventField int

const (
	fieldID eventField = iota
	fieldClass
	fieldTimeLeft
	fieldServer
	fieldAttempt
	fieldOutcome
	fieldTook
	fieldReportKind
	fieldReport
	fieldTimerToken
	fieldRevision
	fieldListNumber
	fieldListMode
	fieldServers
	fieldSeed
	fieldSettings
	fieldMessage
	fieldPeer
	fieldFinal
	fieldMidFlow
	fieldTenant
	fieldKey
	fieldGroup
	fieldLoad
	fieldRetry
	fieldReconnect
)

// eventCodec maps the keys of the simulator's protocol to the fields of event.
var eventCodec = newObjectCodec([]objectField[event]{
	fieldID:         {"id", into(func(e *event) *string { return &e.id }, (*jx.Decoder).Str)},
	fieldClass:      {"lane", into(func(e *event) *int { return &e.class }, (*jx.Decoder).Int)},
	fieldTimeLeft:   {"remaining", into(func(e *event) *time.Duration { return &e.timeLeft }, decodeDuration)},
	fieldServer:     {"host", intoServer(func(e *event) *balancer.ServerID { return &e.server })},
	fieldAttempt:    {"trial", into(func(e *event) *int { return &e.attempt }, (*jx.Decoder).Int)},
	fieldOutcome:    {"result", into(func(e *event) *balancer.Outcome { return &e.outcome }, decodeEnum(outcomes))},
	fieldTook:       {"timeTaken", into(func(e *event) *time.Duration { return &e.took }, decodeDuration)},
	fieldReportKind: {"kind", into(func(e *event) *int { return &e.reportKind }, (*jx.Decoder).Int)},
	fieldReport:     {"value", into(func(e *event) *float64 { return &e.report }, (*jx.Decoder).Float64)},
	fieldTimerToken: {"handle", into(func(e *event) *string { return &e.timerToken }, (*jx.Decoder).Str)},
	fieldRevision:   {"serial", into(func(e *event) *int64 { return &e.revision }, (*jx.Decoder).Int64)},
	fieldListNumber: {"buffer", into(func(e *event) *int { return &e.listNumber }, (*jx.Decoder).Int)},
	fieldListMode:   {"mode", into(func(e *event) *string { return &e.listMode }, (*jx.Decoder).Str)},
	fieldServers:    {"rows", decodeServers},
	fieldSeed:       {"prng", into(func(e *event) *uint64 { return &e.seed }, decodeSeed)},
	fieldSettings:   {"facts", into(func(e *event) *jx.Raw { return &e.settings }, (*jx.Decoder).Raw)},
	fieldMessage:    {"content", into(func(e *event) *[]byte { return &e.message }, (*jx.Decoder).Base64)},
	fieldPeer:       {"src", into(func(e *event) *int { return &e.peer }, (*jx.Decoder).Int)},
	fieldFinal:      {"last", into(func(e *event) *bool { return &e.final }, (*jx.Decoder).Bool)},
	fieldMidFlow:    {"stray", into(func(e *event) *bool { return &e.midFlow }, (*jx.Decoder).Bool)},
	fieldTenant:     {"billing", into(func(e *event) *int { return &e.tenant }, (*jx.Decoder).Int)},
	fieldKey:        {"entity", into(func(e *event) *string { return &e.key }, (*jx.Decoder).Str)},
	fieldGroup:      {"room", into(func(e *event) *string { return &e.group }, (*jx.Decoder).Str)},
	fieldLoad:       {"expected", into(func(e *event) *float64 { return &e.load }, (*jx.Decoder).Float64)},
	fieldRetry:      {"isRetry", into(func(e *event) *bool { return &e.retry }, (*jx.Decoder).Bool)},
	fieldReconnect:  {"again", into(func(e *event) *bool { return &e.reconnect }, (*jx.Decoder).Bool)},
})

// serverField numbers the fields of a server in a list.
type serverField int

const (
	serverID serverField = iota
	serverState
	serverZone
	serverCell
	serverWeight
	serverStartedAt
)

// serverCodec maps the keys of the simulator's protocol to the fields of a server.
var serverCodec = newObjectCodec([]objectField[balancer.Server]{
	serverID:        {"host", intoServer(func(s *balancer.Server) *balancer.ServerID { return &s.ID })},
	serverState:     {"mode", into(stateOf, decodeEnum(serverStates))},
	serverZone:      {"rackZone", into(func(s *balancer.Server) *int { return &s.Zone }, (*jx.Decoder).Int)},
	serverCell:      {"unitGroup", into(func(s *balancer.Server) *int { return &s.Cell }, (*jx.Decoder).Int)},
	serverWeight:    {"units", into(func(s *balancer.Server) *float64 { return &s.Weight }, (*jx.Decoder).Float64)},
	serverStartedAt: {"since", into(startOf, decodeDuration)},
})

func stateOf(s *balancer.Server) *balancer.ServerState { return &s.State }
func startOf(s *balancer.Server) *time.Duration        { return &s.StartedAt }

// decodeServers reads the servers of a list.
func decodeServers(names serverNames, d *jx.Decoder, e *event) error {
	return d.Arr(func(d *jx.Decoder) error {
		server := balancer.Server{Weight: 1}
		present, err := serverCodec.decode(names, d, &server)
		if err == nil {
			err = serverCodec.requireFields(present, fields(serverID, serverState))
		}
		e.servers = append(e.servers, server)
		return err
	})
}

// decode reads the object of one event.
func (e *event) decode(names serverNames, d *jx.Decoder) error {
	*e = event{}
	present, err := eventCodec.decode(names, d, e)
	e.present = present
	return err
}
