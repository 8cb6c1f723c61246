package tomlfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var (
	errNegative = errors.New("must not be negative")
	errNoJobs   = errors.New("no job")
)

// jobFile is a target whose Check fails if a share is negative or if the file has no job.
type jobFile struct {
	Name string
	Jobs []struct {
		Share int
		Wait  Duration
	} `toml:"job"`
}

func (f *jobFile) Check() error {
	if len(f.Jobs) == 0 {
		return errNoJobs
	}
	for _, job := range f.Jobs {
		if job.Share < 0 {
			return NewFieldError("job[1].share", "%d: %w", job.Share, errNegative)
		}
	}
	return nil
}

func TestDecode_ValidFile_FillsTarget(t *testing.T) {
	var file jobFile
	err := Decode("jobs.toml", []byte("name = \"n\"\n[[job]]\nshare = 2\nwait = \"1.5s\"\n"), &file)
	if err != nil {
		t.Fatal(err)
	}
	if file.Name != "n" || file.Jobs[0].Share != 2 || file.Jobs[0].Wait.AsDuration() != 1500*time.Millisecond {
		t.Errorf("decoded %+v, want name n and a job with share 2 and wait 1.5s", file)
	}
}

func TestDecode_InvalidFile_ErrorNamesFileLineAndKey(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Error // Err is not compared
		wantText   string
	}{
		{
			name:     "unknown key",
			text:     "name = \"n\"\n[[job]]\nshare = 1\nshard = 2\n",
			want:     Error{File: "jobs.toml", Line: 4, Key: "job.shard"},
			wantText: "jobs.toml:4: job.shard: no such key",
		},
		{
			name: "wrong type",
			text: "name = \"n\"\n[[job]]\nshare = \"many\"\n",
			want: Error{File: "jobs.toml", Line: 3, Key: "job.share"},
		},
		{
			name: "invalid TOML",
			text: "name = \"n\"\n[[job\n",
			want: Error{File: "jobs.toml", Line: 2},
		},
		{
			name:     "failed check of a field",
			text:     "[[job]]\nshare = 1\n[[job]]\nshare = -1\n",
			want:     Error{File: "jobs.toml", Line: 4, Key: "job[1].share"},
			wantText: "jobs.toml:4: job[1].share: -1: must not be negative",
		},
		{
			name:     "failed check of the whole file",
			text:     "name = \"n\"\n",
			want:     Error{File: "jobs.toml"},
			wantText: "jobs.toml: no job",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := Decode("jobs.toml", []byte(test.text), &jobFile{})
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want an *Error", err)
			}
			if got.File != test.want.File || got.Line != test.want.Line || got.Key != test.want.Key {
				t.Errorf("file %q, line %d, key %q; want %+v", got.File, got.Line, got.Key, test.want)
			}
			if test.wantText != "" && err.Error() != test.wantText {
				t.Errorf("got %q, want %q", err, test.wantText)
			}
		})
	}
}

func TestAddLocation_WrappedErrors_ReasonIsWrapped(t *testing.T) {
	text := []byte("a = 1\n")
	if err := AddLocation("f.toml", text, nil); err != nil {
		t.Errorf("AddLocation of a nil error: got %v, want nil", err)
	}
	if err := AddLocation("f.toml", text, NewFieldError("a", "%w", errNegative)); !errors.Is(err, errNegative) {
		t.Errorf("%v does not wrap its reason", err)
	}
	if err := AddLocation("f.toml", text, errNoJobs); !errors.Is(err, errNoJobs) {
		t.Errorf("%v does not wrap its reason", err)
	}
}

func TestRead_UnreadableFile_ErrorNamesFileOnce(t *testing.T) {
	dir := t.TempDir()
	large := filepath.Join(dir, "large.toml")
	if err := os.WriteFile(large, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{filepath.Join(dir, "missing.toml"), dir, large} {
		_, err := Read(path, &jobFile{})
		var got *Error
		if !errors.As(err, &got) || got.File != path || got.Line != 0 || got.Key != "" {
			t.Fatalf("%s: got error %v, want an *Error with the file and no line or key", path, err)
		}
		if strings.Count(err.Error(), path) != 1 {
			t.Errorf("%q does not contain the path exactly once", err)
		}
	}
}

func TestDuration_Text_RoundTrip(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("200ms")); err != nil || d.AsDuration() != 200*time.Millisecond {
		t.Errorf("got %v, error %v; want 200ms", d.AsDuration(), err)
	}
	if text, err := d.MarshalText(); err != nil || string(text) != "200ms" {
		t.Errorf("got %q, error %v; want \"200ms\"", text, err)
	}
	if err := d.UnmarshalText([]byte("soon")); err == nil || !strings.Contains(err.Error(), `invalid duration "soon"`) {
		t.Errorf("got error %v, want \"invalid duration\" with the text", err)
	}
}
