package control

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fillFields sets every exported field of a value to a distinct value that is not zero.
func fillFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), n)
	case reflect.Struct:
		if v.Type().PkgPath() == "time" {
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() && v.Type().Field(i).Tag.Get("json") != "-" {
				fillFields(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0), n)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("v" + strconv.Itoa(*n))
	case reflect.Uint8: // an enumeration: its second value
		v.SetUint(1)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	}
}

// An earlier release wrote the files in testdata, with a value in every field. They guard the JSON names: instances,
// agents and command lines of different releases exchange these messages.
func TestMessages_FromEarlierRelease_RoundTripUnchanged(t *testing.T) {
	for name, into := range map[string]any{"command-v1.json": new(Command), "answer-v1.json": new(Response), "status-v1.json": new(Status), "list-v1.json": new(PeerList)} {
		path := filepath.Join("testdata", name)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		want := reflect.New(reflect.TypeOf(into).Elem())
		n := 0
		fillFields(want.Elem(), &n)
		if err := json.Unmarshal(text, into); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(want.Interface(), into); diff != "" {
			t.Errorf("%s decodes to other values (-want +got): %s", name, diff)
		}
		again, err := json.Marshal(into)
		if diff := cmp.Diff(string(text), string(again)); diff != "" || err != nil {
			t.Errorf("%s encodes to other JSON: error %v, diff (-want +got): %s", name, err, diff)
		}
	}
}
