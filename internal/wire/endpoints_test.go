package wire

import (
	"testing"
)

// Unknown fields are ignored, because discovery may add fields. Missing IDs, unknown phases and values out of range are
// errors.
func TestParseEndpointList_Documents_AreChecked(t *testing.T) {
	list, err := ParseEndpointList([]byte(`{"revision":41,"complete":true,"new":1,"members":[{"id":"s-1","host_port":"127.0.0.1:1",` +
		`"locality":"a","flavor":"m2","cell":3,"phase":"DRAINING","size":1.5,"up_since_ms":12}]}`))
	want := Endpoint{"s-1", "127.0.0.1:1", "a", 3, Draining, 1.5, 12}
	if err != nil || list.Revision != 41 || !list.Complete || len(list.Endpoints) != 1 || list.Endpoints[0] != want {
		t.Errorf("list %+v, error %v, want revision 41 and one endpoint", list, err)
	}
	for _, text := range []string{"", "{", "[]", `{"members":{}}`, `{"members":[{}]}`, `{"members":[{"id":"a","phase":"ODD"}]}`,
		`{"members":[{"id":"a","size":-1}]}`, `{"members":[{"id":"a","up_since_ms":-5}]}`, `{"revision":"x"}`} {
		if _, err := ParseEndpointList([]byte(text)); err == nil {
			t.Errorf("%q: no error, want one", text)
		}
	}
}

// FuzzEndpointList checks that a list that is accepted has only valid endpoints.
func FuzzEndpointList(f *testing.F) {
	f.Add([]byte(`{"revision":1,"members":[{"id":"a","phase":"SERVING","size":1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := ParseEndpointList(text)
		for _, endpoint := range list.Endpoints {
			if err == nil && (endpoint.ID == "" || endpoint.Size < 0 || endpoint.StartedAtMS < 0 || endpoint.Phase > Removed) {
				t.Errorf("invalid endpoint %+v accepted", endpoint)
			}
		}
	})
}
