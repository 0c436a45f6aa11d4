package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inifile"
)

// DefaultDrainLimit is long enough for nearly all generations, which run for
// minutes, to end where they are.
const DefaultDrainLimit = 10 * time.Minute

const (
	shortestDrain = time.Second
	longestDrain  = 24 * time.Hour
)

var fields = map[string][]inifile.Field[Settings]{
	"daemon":   daemonFields,
	"platform": platformFields,
	"tls":      tlsFields,
	"log":      logFields,
}

// sectionOrder is the order of the reference page.
var sectionOrder = []string{"daemon", "platform", "tls", "log"}

var daemonFields = []inifile.Field[Settings]{
	{Name: "site", Required: true, Help: "name of the site whose text this daemon follows", Set: word(func(s *Settings) *string { return &s.Site })},
	{Name: "vm", Required: true, Help: "id of this VM in the platform's list", Set: word(func(s *Settings) *string { return &s.VM })},
	{Name: "zone", Required: true, Help: "availability zone of this VM", Set: text(func(s *Settings) *string { return &s.Zone })},
	{Name: "region", Help: "region of the zone", Set: text(func(s *Settings) *string { return &s.Region })},
	{Name: "listen", Required: true, Help: "address for callers", Set: address(func(s *Settings) *string { return &s.Listen })},
	{Name: "peer_listen", Required: true, Help: "address for other entry VMs", Set: address(func(s *Settings) *string { return &s.PeerListen })},
	{Name: "admin_listen", Required: true, Help: "address for operators: status and metrics", Set: address(func(s *Settings) *string { return &s.AdminListen })},
	{Name: "drain_limit", Default: DefaultDrainLimit.String(), Help: "longest graceful shutdown", Set: setDrainLimit},
}

var platformFields = []inifile.Field[Settings]{
	{Name: "store", Required: true, Help: "endpoints of the key-value service, comma-separated URLs", Set: setStore},
	{Name: "vm_list", Required: true, Help: "URL of the VM list", Set: link(func(s *Settings) *string { return &s.VMList })},
	{Name: "weights", Help: "URL of the weight store", Set: link(func(s *Settings) *string { return &s.Weights })},
}

var tlsFields = []inifile.Field[Settings]{
	{Name: "cert", Help: "certificate file towards callers", Set: text(func(s *Settings) *string { return &s.TLS.Cert })},
	{Name: "key", Help: "its private key file", Set: text(func(s *Settings) *string { return &s.TLS.Key })},
	{Name: "peer_cert", Help: "certificate file of both ends of links between entry VMs", Set: text(func(s *Settings) *string { return &s.TLS.PeerCert })},
	{Name: "peer_key", Help: "its private key file", Set: text(func(s *Settings) *string { return &s.TLS.PeerKey })},
	{Name: "peer_ca", Help: "file of the authorities that sign entry VMs' certificates", Set: text(func(s *Settings) *string { return &s.TLS.PeerCA })},
	{Name: "operator_token_hash", Secret: true, Help: "lower-case hex SHA-256 of the operators' bearer token", Set: setTokenHash},
}

var logFields = []inifile.Field[Settings]{
	{Name: "level", Default: "info", Help: "lowest level written: debug, info, warning, error", Set: setLogLevel},
	{Name: "format", Default: "text", Help: "text or json", Set: setLogFormat},
}

// Parse reads the settings at path. Its error is an inifile.Errors that lists
// every fault as "file:line: what: what to write instead".
func Parse(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, inifile.Errors{{
			File: path, Problem: "cannot be read (" + cause(err).Error() + ")",
			Remedy: "give the path of a readable settings file",
		}}
	}
	return ParseText(path, text)
}

func cause(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// locate remembers where the keys of a section stand.
func (s *Settings) locate(file string, sec *inifile.Section) {
	if sec == nil {
		return
	}
	s.file, s.lines = file, make(map[string]int, len(sec.Keys))
	for _, k := range sec.Keys {
		s.lines[k.Name] = k.Line
	}
}

// ParseText is Parse on a text already read; name stands in the errors.
func ParseText(name string, text []byte) (*Settings, error) {
	errs := &inifile.Collector{File: name}
	s := &Settings{LogLevel: "info", LogFormat: "text", DrainLimit: DefaultDrainLimit}
	sections := map[string]*inifile.Section{}
	for _, sec := range inifile.Parse(text, errs) {
		known, ok := fields[sec.Header()]
		if !ok {
			errs.Add(sec.Line, fmt.Sprintf("unknown section [%s]", sec.Header()),
				"write one of ["+strings.Join(sectionOrder, "], [")+"]")
			continue
		}
		sections[sec.Header()] = sec
		inifile.Decode(sec, known, s, errs)
	}
	for _, name := range []string{"daemon", "platform"} {
		if sections[name] == nil {
			errs.Add(0, "no section ["+name+"]", "add it")
		}
	}
	s.locate(name, sections["daemon"])
	checkAddresses(s, sections["daemon"], errs)
	checkTLS(s, sections["tls"], errs)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reference returns every section and key, for the reference page.
func Reference() []inifile.Row {
	var rows []inifile.Row
	for _, name := range sectionOrder {
		rows = append(rows, inifile.Rows(name, fields[name])...)
	}
	return rows
}

// checkAddresses refuses two listeners on one address: the daemon would stop
// at its second listen with an error that names no line.
func checkAddresses(s *Settings, sec *inifile.Section, errs *inifile.Collector) {
	if sec == nil {
		return
	}
	seen := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"listen", s.Listen},
		{"peer_listen", s.PeerListen},
		{"admin_listen", s.AdminListen},
	} {
		if l.address == "" {
			continue
		}
		if first, dup := seen[l.address]; dup && !strings.HasSuffix(l.address, ":0") {
			errs.Add(sec.LineOf(l.key), fmt.Sprintf("%s and %s are both %s", first, l.key, l.address), "give each its own port")
		}
		seen[l.address] = l.key
	}
}

// checkTLS refuses half a pair. A daemon with a certificate and no key, or with
// a peer certificate and no authority, could only start without TLS or without
// authentication, which nobody asked for.
func checkTLS(s *Settings, sec *inifile.Section, errs *inifile.Collector) {
	if sec == nil {
		return
	}
	t := s.TLS
	if (t.Cert == "") != (t.Key == "") {
		errs.Add(sec.Line, "cert and key are not both given", "give both, or neither for plain TCP")
	}
	given := 0
	for _, f := range []string{t.PeerCert, t.PeerKey, t.PeerCA} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		errs.Add(sec.Line, "peer_cert, peer_key and peer_ca are not all given", "give all three, or none for plain TCP")
	}
}

type setter = func(to *Settings, suffix, value string) error

// text accepts any value but an empty one.
func text(field func(*Settings) *string) setter {
	return func(to *Settings, _, value string) error {
		if value == "" {
			return errors.New("write a value or leave the key out")
		}
		*field(to) = value
		return nil
	}
}

// word accepts what may stand in a store key or a URL path.
func word(field func(*Settings) *string) setter {
	return func(to *Settings, _, value string) error {
		if !inifile.IsName(value) {
			return errors.New("write letters, digits, '.', '_' and '-', beginning with a letter or digit")
		}
		*field(to) = value
		return nil
	}
}

func address(field func(*Settings) *string) setter {
	return func(to *Settings, _, value string) error {
		host, port, err := net.SplitHostPort(value)
		if err == nil {
			_, err = netip.ParseAddr(host)
		}
		if err == nil {
			_, err = strconv.ParseUint(port, 10, 16)
		}
		if err != nil {
			return errors.New("write ip:port with an IP number, such as 10.0.1.4:8080")
		}
		*field(to) = value
		return nil
	}
}

func link(field func(*Settings) *string) setter {
	return func(to *Settings, _, value string) error {
		if err := checkURL(value); err != nil {
			return err
		}
		*field(to) = value
		return nil
	}
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("write a URL such as http://10.0.0.9:2379")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return errors.New("write the URL with an IP number, such as http://10.0.0.9:2379")
	}
	return nil
}

func setStore(to *Settings, _, value string) error {
	endpoints := inifile.List(value)
	if len(endpoints) == 0 {
		return errors.New("write at least one URL such as http://10.0.0.9:2379")
	}
	for _, e := range endpoints {
		if err := checkURL(e); err != nil {
			return err
		}
	}
	to.Store = endpoints
	return nil
}

func setDrainLimit(to *Settings, _, value string) (err error) {
	to.DrainLimit, err = inifile.Duration(value, shortestDrain, longestDrain)
	return err
}

func setTokenHash(to *Settings, _, value string) error {
	if !inifile.IsTokenHash(value) {
		return errors.New("write 64 lower-case hex digits: the SHA-256 of the token, not the token")
	}
	to.TLS.OperatorTokenHash = value
	return nil
}

func setLogLevel(to *Settings, _, value string) (err error) {
	to.LogLevel, err = inifile.OneOf(value, "debug", "info", "warning", "error")
	return err
}

func setLogFormat(to *Settings, _, value string) (err error) {
	to.LogFormat, err = inifile.OneOf(value, "text", "json")
	return err
}
