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

// DefaultDrainLimit is long enough for nearly all generations, which run for minutes, to finish on
// the draining daemon.
const DefaultDrainLimit = 10 * time.Minute

const (
	minDrainLimit = time.Second
	maxDrainLimit = 24 * time.Hour
)

var sectionFields = map[string][]inifile.Field[Settings]{
	"daemon":   daemonFields,
	"platform": platformFields,
	"tls":      tlsFields,
	"log":      logFields,
}

// sectionOrder is the order of the sections on the reference page.
var sectionOrder = []string{"daemon", "platform", "tls", "log"}

var daemonFields = []inifile.Field[Settings]{
	{Name: "site", Required: true, Help: "name of the site whose text this daemon follows", Set: nameSetter(func(s *Settings) *string { return &s.Site })},
	{Name: "vm", Required: true, Help: "id of this VM in the platform's list", Set: nameSetter(func(s *Settings) *string { return &s.VM })},
	{Name: "zone", Required: true, Help: "availability zone of this VM", Set: textSetter(func(s *Settings) *string { return &s.Zone })},
	{Name: "region", Help: "region of the zone", Set: textSetter(func(s *Settings) *string { return &s.Region })},
	{Name: "listen", Required: true, Help: "address for callers", Set: addressSetter(func(s *Settings) *string { return &s.Listen })},
	{Name: "peer_listen", Required: true, Help: "address for other entry VMs", Set: addressSetter(func(s *Settings) *string { return &s.PeerListen })},
	{Name: "admin_listen", Required: true, Help: "address for operators: status and metrics", Set: addressSetter(func(s *Settings) *string { return &s.AdminListen })},
	{Name: "drain_limit", Default: DefaultDrainLimit.String(), Help: "longest graceful shutdown", Set: setDrainLimit},
}

var platformFields = []inifile.Field[Settings]{
	{Name: "store", Required: true, Help: "endpoints of the key-value service, comma-separated URLs", Set: setStore},
	{Name: "vm_list", Required: true, Help: "URL of the VM list", Set: urlSetter(func(s *Settings) *string { return &s.VMList })},
	{Name: "weights", Help: "URL of the weight store", Set: urlSetter(func(s *Settings) *string { return &s.Weights })},
}

var tlsFields = []inifile.Field[Settings]{
	{Name: "cert", Help: "certificate file towards callers", Set: textSetter(func(s *Settings) *string { return &s.TLS.Cert })},
	{Name: "key", Help: "its private key file", Set: textSetter(func(s *Settings) *string { return &s.TLS.Key })},
	{Name: "peer_cert", Help: "certificate file of both ends of links between entry VMs", Set: textSetter(func(s *Settings) *string { return &s.TLS.PeerCert })},
	{Name: "peer_key", Help: "its private key file", Set: textSetter(func(s *Settings) *string { return &s.TLS.PeerKey })},
	{Name: "peer_ca", Help: "file of the authorities that sign entry VMs' certificates", Set: textSetter(func(s *Settings) *string { return &s.TLS.PeerCA })},
	{Name: "operator_token_hash", Secret: true, Help: "lower-case hex SHA-256 of the operators' bearer token", Set: setTokenHash},
}

var logFields = []inifile.Field[Settings]{
	{Name: "level", Default: "info", Help: "lowest level written: debug, info, warning, error", Set: setLogLevel},
	{Name: "format", Default: "text", Help: "text or json", Set: setLogFormat},
}

// Parse reads the settings file at path. The error is an inifile.Errors that lists every problem as
// "file:line: problem: remedy".
func Parse(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, inifile.Errors{{
			File: path, Problem: "cannot be read (" + pathErrorCause(err).Error() + ")",
			Remedy: "give the path of a readable settings file",
		}}
	}
	return ParseText(path, text)
}

// pathErrorCause returns the error inside an os.PathError, whose path Parse already reports.
func pathErrorCause(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// recordKeyLines stores the file and the line number of each key of sec for Position.
func (s *Settings) recordKeyLines(file string, sec *inifile.Section) {
	if sec == nil {
		return
	}
	s.file, s.keyLines = file, make(map[string]int, len(sec.Keys))
	for _, k := range sec.Keys {
		s.keyLines[k.Name] = k.Line
	}
}

// ParseText parses the text of a settings file; name is the file name used in errors.
func ParseText(name string, text []byte) (*Settings, error) {
	errs := &inifile.Collector{File: name}
	s := &Settings{LogLevel: "info", LogFormat: "text", DrainLimit: DefaultDrainLimit}
	sections := map[string]*inifile.Section{}
	for _, sec := range inifile.Parse(text, errs) {
		known, ok := sectionFields[sec.Header()]
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
	s.recordKeyLines(name, sections["daemon"])
	checkAddresses(s, sections["daemon"], errs)
	checkTLS(s, sections["tls"], errs)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reference returns the rows of the reference page: every key of every section.
func Reference() []inifile.Row {
	var rows []inifile.Row
	for _, name := range sectionOrder {
		rows = append(rows, inifile.Rows(name, sectionFields[name])...)
	}
	return rows
}

// checkAddresses rejects two listeners on the same address. The daemon would only fail when it
// opens the second listener.
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

// checkTLS rejects incomplete TLS settings. A daemon that has a certificate without a key, or a
// peer certificate without a CA, could only start without TLS or without authentication, which the
// operator did not ask for.
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

// setFunc stores the value of one key.
type setFunc = func(dst *Settings, suffix, value string) error

// textSetter accepts any non-empty value.
func textSetter(field func(*Settings) *string) setFunc {
	return func(dst *Settings, _, value string) error {
		if value == "" {
			return errors.New("write a value or leave the key out")
		}
		*field(dst) = value
		return nil
	}
}

// nameSetter accepts names that need no escaping in a store key or a URL path.
func nameSetter(field func(*Settings) *string) setFunc {
	return func(dst *Settings, _, value string) error {
		if !inifile.IsName(value) {
			return errors.New("write letters, digits, '.', '_' and '-', beginning with a letter or digit")
		}
		*field(dst) = value
		return nil
	}
}

// addressSetter accepts ip:port.
func addressSetter(field func(*Settings) *string) setFunc {
	return func(dst *Settings, _, value string) error {
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
		*field(dst) = value
		return nil
	}
}

// urlSetter accepts the URLs that checkURL accepts.
func urlSetter(field func(*Settings) *string) setFunc {
	return func(dst *Settings, _, value string) error {
		if err := checkURL(value); err != nil {
			return err
		}
		*field(dst) = value
		return nil
	}
}

// checkURL accepts http and https URLs whose host is an IP address.
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

func setStore(dst *Settings, _, value string) error {
	endpoints := inifile.List(value)
	if len(endpoints) == 0 {
		return errors.New("write at least one URL such as http://10.0.0.9:2379")
	}
	for _, e := range endpoints {
		if err := checkURL(e); err != nil {
			return err
		}
	}
	dst.Store = endpoints
	return nil
}

func setDrainLimit(dst *Settings, _, value string) (err error) {
	dst.DrainLimit, err = inifile.Duration(value, minDrainLimit, maxDrainLimit)
	return err
}

func setTokenHash(dst *Settings, _, value string) error {
	if !inifile.IsTokenHash(value) {
		return errors.New("write 64 lower-case hex digits: the SHA-256 of the token, not the token")
	}
	dst.TLS.OperatorTokenHash = value
	return nil
}

func setLogLevel(dst *Settings, _, value string) (err error) {
	dst.LogLevel, err = inifile.OneOf(value, "debug", "info", "warning", "error")
	return err
}

func setLogFormat(dst *Settings, _, value string) (err error) {
	dst.LogFormat, err = inifile.OneOf(value, "text", "json")
	return err
}
