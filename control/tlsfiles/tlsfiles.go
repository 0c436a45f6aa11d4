// Package tlsfiles serves certificates from files that change while the daemon
// runs: a renewed certificate is in use without a restart, a broken one leaves
// the one before in use and is logged.
//
// Links between entry VMs authenticate both ends by the authorities in
// peer_ca. The name in the certificate is not compared with the address: entry
// VMs are equal and replaced at any time, so one certificate may serve all of
// them, and whoever holds one may speak for any.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/telemetry/event"
)

// pollInterval is how often files are looked at. Renewals come days before the
// old certificate ends.
const pollInterval = 30 * time.Second

// Files holds the certificates in use.
type Files struct {
	caller  *keyPair // nil when callers use plain TCP
	peer    *keyPair // nil when peers use plain TCP
	peerCAs *caPool
	log     *event.Log
}

// New reads the files that t names.
func New(t settings.TLS, log *event.Log) (*Files, error) {
	f := &Files{log: log}
	if t.Cert != "" {
		f.caller = &keyPair{cert: t.Cert, key: t.Key}
	}
	if t.PeerCert != "" {
		f.peer = &keyPair{cert: t.PeerCert, key: t.PeerKey}
		f.peerCAs = &caPool{file: t.PeerCA}
	}
	for _, s := range f.sources() {
		if err := s.load(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// source is a file or pair of files that is read again when it changes.
type source interface {
	name() string
	fileVersion() fileVersion
	lastAttempted() fileVersion
	load() error
	expiresAt() time.Time // zero when it does not matter
}

func (f *Files) sources() []source {
	var list []source
	if f.caller != nil {
		list = append(list, f.caller)
	}
	if f.peer != nil {
		list = append(list, f.peer, f.peerCAs)
	}
	return list
}

// Run looks for changed files until ctx ends.
func (f *Files) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.Reload()
		}
	}
}

// Reload reads the files that changed since they were last read.
func (f *Files) Reload() {
	for _, s := range f.sources() {
		if s.fileVersion() == s.lastAttempted() {
			continue
		}
		if err := s.load(); err != nil {
			f.log.Emit(event.CertificateRefused, s.name(), err.Error())
			continue
		}
		f.log.Emit(event.CertificateLoaded, s.name(), s.expiresAt())
	}
}

// CallerServer returns the configuration of the callers' listener, nil for plain TCP.
func (f *Files) CallerServer() *tls.Config {
	if f.caller == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.caller.serverCertificate}
}

// PeerServer returns the configuration of the listener for other entry VMs,
// nil for plain TCP.
func (f *Files) PeerServer() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: f.peer.serverCertificate,
		ClientAuth:     tls.RequireAnyClientCert,
		// Verified here and not by ClientCAs, which could not be reloaded.
		VerifyConnection: f.chainVerifier(x509.ExtKeyUsageClientAuth),
	}
}

// PeerClient returns the configuration of calls to other entry VMs, nil for
// plain TCP.
func (f *Files) PeerClient() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: f.peer.clientCertificate,
		// The chain is verified below against the authorities in use now;
		// the package comment says why the name is not.
		InsecureSkipVerify: true,
		VerifyConnection:   f.chainVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// chainVerifier checks the other end's chain. It also runs on resumed sessions, so a
// removed authority ends them.
func (f *Files) chainVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("the peer has no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         f.peerCAs.current.Load(),
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return errors.Wrap(err, "certificate of the peer")
	}
}

// fileVersion tells versions of a file apart.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(files ...string) fileVersion {
	var s fileVersion
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			continue
		}
		s.size = s.size*31 + info.Size()
		if info.ModTime().After(s.modified) {
			s.modified = info.ModTime()
		}
	}
	return s
}

// keyPair is a certificate with its key.
type keyPair struct {
	cert, key string
	attempted fileVersion
	current   atomic.Pointer[tls.Certificate]
}

func (p *keyPair) name() string               { return p.cert }
func (p *keyPair) fileVersion() fileVersion   { return versionOf(p.cert, p.key) }
func (p *keyPair) lastAttempted() fileVersion { return p.attempted }

func (p *keyPair) load() error {
	p.attempted = p.fileVersion()
	loaded, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return errors.Wrap(err, p.cert)
	}
	p.current.Store(&loaded)
	return nil
}

func (p *keyPair) expiresAt() time.Time { return p.current.Load().Leaf.NotAfter }

func (p *keyPair) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

func (p *keyPair) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// caPool is a file of authorities.
type caPool struct {
	file      string
	attempted fileVersion
	current   atomic.Pointer[x509.CertPool]
}

func (p *caPool) name() string               { return p.file }
func (p *caPool) fileVersion() fileVersion   { return versionOf(p.file) }
func (p *caPool) lastAttempted() fileVersion { return p.attempted }
func (p *caPool) expiresAt() time.Time       { return time.Time{} }

func (p *caPool) load() error {
	p.attempted = p.fileVersion()
	text, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, p.file)
	}
	loaded := x509.NewCertPool()
	if !loaded.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", p.file)
	}
	p.current.Store(loaded)
	return nil
}
