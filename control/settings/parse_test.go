package settings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
)

const sample = `[daemon]
site = association
vm = rufisque-1
zone = Athi River
listen = 127.0.0.1:8080
peer_listen = [::1]:8081
admin_listen = 127.0.0.1:8082
drain_limit = 90s
[platform]
store = http://127.0.0.1:2379, http://127.0.0.2:2379
vm_list = http://127.0.0.1:2380/vms
[log]
format = json
`

func TestParse(t *testing.T) {
	s, err := ParseText("entry.ini", []byte(sample))
	must.NoError(t, err)
	must.Eq(t, "Athi River", s.Zone)
	must.Eq(t, 90*time.Second, s.DrainLimit)
	must.Eq(t, []string{"http://127.0.0.1:2379", "http://127.0.0.2:2379"}, s.Store)
	must.Eq(t, "json", s.LogFormat)
	must.Eq(t, "info", s.LogLevel)
}

// One pass must report every error with its line, and a secret must not appear in any of them.
func TestParseReportsAllErrors(t *testing.T) {
	text := `[daemon]
site = a/b
vm = v
listen = localhost:80
peer_listen = 127.0.0.1:1
admin_listen = 127.0.0.1:1
drain_limit = -5s
[tls]
cert = a.pem
peer_ca = ca.pem
operator_token_hash = secret
[log]
level = loud
[weird]
`
	_, err := ParseText("entry.ini", []byte(text))
	for _, want := range []string{
		`entry.ini: no section [platform]: add it`,
		`entry.ini:1: [daemon] has no key "zone"`,
		`entry.ini:2: bad value "a/b" of site`,
		`entry.ini:4: bad value "localhost:80" of listen: write ip:port`,
		`entry.ini:6: peer_listen and admin_listen are both 127.0.0.1:1`,
		`entry.ini:7: bad value "-5s" of drain_limit`,
		`entry.ini:8: cert and key are not both given`,
		`entry.ini:8: peer_cert, peer_key and peer_ca are not all given`,
		`entry.ini:11: bad value of operator_token_hash: write 64 lower-case hex digits`,
		`entry.ini:13: bad value "loud" of level: write one of debug, info, warning, error`,
		`entry.ini:14: unknown section [weird]: write one of [daemon]`,
	} {
		must.StrContains(t, err.Error(), want)
	}
	must.StrNotContains(t, err.Error(), "secret")
}

func TestParseMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	_, err := Parse(path)
	var errs inifile.Errors
	must.ErrorAs[error](t, err, &errs)
	must.Eq(t, path+": cannot be read (no such file or directory): give the path of a readable settings file", err.Error())
}

// For any input, ParseText must return either settings or an error.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseText("f", []byte(text))
		must.Eq(t, err == nil, s != nil)
	})
}
