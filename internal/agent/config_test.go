package agent

import (
	"strings"
	"testing"

	"onyxstream/internal/tomlfile"
)

// Errors of the configuration and the inventory name the file, the line if the field has one, and the field.
func TestConfig_InvalidFile_NamesField(t *testing.T) {
	for text, want := range map[string]string{
		"inventory = \"a\"\nstore = \"b\"\n":                                 "a.toml: socket: missing",
		"inventory = \"a\"\nstore = \"b\"\nsocket = \"c\"\nevery = \"1h\"\n": "a.toml:4: every",
		"inventory = \"a\"\nstore = \"b\"\nsocket = \"c\"\nkey = \"x\"\n":    "a.toml:4: key: no such key",
	} {
		if err := tomlfile.Decode("a.toml", []byte(text), &Config{}); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Decode(%q): error %v, want %s", text, err, want)
		}
	}
	const sameName = "[[instance]]\nname = \"a\"\naddr = \"x\"\nzone = \"z\"\n" +
		"[[instance]]\naddr = \"y\"\nname = \"a\"\nzone = \"z\"\n"
	err := tomlfile.Decode("i.toml", []byte(sameName), &Inventory{})
	if err == nil || !strings.HasPrefix(err.Error(), "i.toml:7: instance[1].name") {
		t.Errorf("inventory with a duplicate name: error %v, want one at i.toml:7: instance[1].name", err)
	}
}
