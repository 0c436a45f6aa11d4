// Package settings holds the settings of one daemon: its addresses, its zone
// and where the platform's services are. They come from one INI file.
package settings

import (
	"strconv"
	"time"
)

// Settings of one daemon. All addresses are host:port with an IP number.
type Settings struct {
	Site   string // name of the site whose text the daemon follows
	VM     string // id of this VM in the platform's list
	Zone   string
	Region string

	Listen      string // callers
	PeerListen  string // other entry VMs
	AdminListen string // operators: status page, metrics

	Store   []string // endpoints of the key-value service, http://ip:port
	VMList  string   // URL of the VM list
	Weights string   // URL of the weight store

	TLS TLS

	LogLevel  string
	LogFormat string // text or json

	// DrainLimit bounds a graceful shutdown; work still running then is handed
	// over or, where no other entry VM can take it, cut and logged.
	DrainLimit time.Duration

	// file and lines say where the keys of [daemon] were read.
	file  string
	lines map[string]int
}

// Position returns file:line of a key of [daemon], for errors that show only when
// the value is used, such as a busy port. It is the key alone where the
// settings were not read from a file.
func (s *Settings) Position(key string) string {
	line, ok := s.lines[key]
	if !ok {
		return key
	}
	return s.file + ":" + strconv.Itoa(line)
}

// TLS names certificate files; empty fields mean plain TCP.
type TLS struct {
	Cert, Key         string // callers
	PeerCert, PeerKey string // both ends of links between entry VMs
	PeerCA            string
	OperatorTokenHash string // lower-case hex SHA-256 of the admin bearer token
}
