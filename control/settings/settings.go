// Package settings reads the settings of one daemon from an INI file: its listen addresses, its
// zone, the URLs of the platform's services, TLS files and logging.
package settings

import (
	"strconv"
	"time"
)

// Settings holds the settings of one daemon. All listen addresses are ip:port.
type Settings struct {
	Site   string // name of the site whose site text the daemon applies
	VM     string // id of this VM in the platform's VM list
	Zone   string
	Region string

	Listen      string // for callers
	PeerListen  string // for other entry VMs
	AdminListen string // for operators: status page and metrics

	Store   []string // endpoints of the key-value service, http://ip:port
	VMList  string   // URL of the VM list
	Weights string   // URL of the weight store

	TLS TLS

	LogLevel  string
	LogFormat string // text or json

	// DrainLimit is the maximum duration of a graceful shutdown. Work that is still running then is
	// handed over to another entry VM, or aborted and logged if none can take it.
	DrainLimit time.Duration

	// file and keyLines hold the file and the line numbers that the keys of [daemon] were read from.
	file     string
	keyLines map[string]int
}

// Position returns file:line of a key of [daemon], for errors that occur only when the value is
// used, such as a port that is in use. It returns the key alone if the key's line is unknown.
func (s *Settings) Position(key string) string {
	line, ok := s.keyLines[key]
	if !ok {
		return key
	}
	return s.file + ":" + strconv.Itoa(line)
}

// TLS holds the paths of certificate and key files; empty paths mean plain TCP.
type TLS struct {
	Cert, Key         string // for the listener for callers
	PeerCert, PeerKey string // for both ends of connections between entry VMs
	PeerCA            string // authorities that sign the entry VMs' certificates
	OperatorTokenHash string // lower-case hex SHA-256 of the operators' bearer token
}
