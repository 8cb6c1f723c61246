package migrate

import "strings"

// knownFields has the paths of the configuration fields that a node reads. "[]" stands for any array index.
var knownFields = func() map[string]bool {
	paths := map[string]bool{}
	for prefix, names := range map[string]string{
		"":                      "name listen discovery management seed limits known settings",
		"limits.":               "cores memory_mb sockets",
		"known.":                "revision complete members",
		"known.members[].":      "id host_port locality cell phase size up_since_ms",
		"settings.":             "index groupSize zone zones overShareWorth registryMode lanes customers domain limits rules prices",
		"settings.lanes[].":     "name aim deadline semantics group window worth",
		"settings.customers[].": "name",
		"settings.domain.":      "groups tellsDelay messageAim mode tenantQuotaConnections",
		"settings.limits.":      "cancel connectTimeout maxAttempts maxRetryAfter mayTell probes retryAfter",
		"settings.rules.":       "answerSlack askWithin coldShare fallMultiple overloadFor stopSendingWithin warmWithin",
		"settings.prices.":      "crossZone",
	} {
		for name := range strings.FieldsSeq(names) {
			paths[prefix+name] = true
		}
	}
	return paths
}()
