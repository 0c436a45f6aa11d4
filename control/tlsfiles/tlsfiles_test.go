package tlsfiles

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/telemetry/event"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(t, err)
	return authority{cert, key}
}

func (a authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// issue writes a certificate with this serial number, and its key, to dir.
func (a authority) issue(t *testing.T, dir string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	write(t, dir, "cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}))
	write(t, dir, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}))
}

func write(t *testing.T, dir, name string, data []byte) {
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
}

func load(t *testing.T, dir string, a authority, out *bytes.Buffer) *Files {
	write(t, dir, "ca.pem", a.pem())
	l := logrus.New()
	l.SetOutput(out)
	f, err := New(settings.TLS{
		PeerCert: filepath.Join(dir, "cert.pem"), PeerKey: filepath.Join(dir, "key.pem"), PeerCA: filepath.Join(dir, "ca.pem"),
	}, event.New(l, "vm", "zone"))
	must.NoError(t, err)
	return f
}

// handshake returns the serial number that the client saw and both ends'
// errors. It needs the buffers of real connections: over a pipe an end that
// refuses and one that still writes would wait for each other.
func handshake(t *testing.T, client, server *tls.Config) (serial int64, clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		_, err = tls.Server(conn, server).Write([]byte("x"))
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	c := tls.Client(conn, client)
	_, clientErr = c.Read(make([]byte, 1))
	if clientErr == nil {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	conn.Close()
	return serial, clientErr, <-done
}

// A certificate is renewed while the daemon runs, and one renewal is cut short
// by a full disk. New connections use the renewed one at once; the broken
// file changes nothing, and neither shows a key in the log.
func TestReload(t *testing.T) {
	dir, a, out := t.TempDir(), newAuthority(t), &bytes.Buffer{}
	a.issue(t, dir, 7)
	f := load(t, dir, a, out)
	serial, err, _ := handshake(t, f.PeerClient(), f.PeerServer())
	must.NoError(t, err)
	must.Eq(t, 7, serial)

	client, server := f.PeerClient(), f.PeerServer() // made before the renewal
	a.issue(t, dir, 8)
	later := time.Now().Add(time.Minute)
	must.NoError(t, os.Chtimes(filepath.Join(dir, "cert.pem"), later, later))
	f.Reload()
	serial, err, _ = handshake(t, client, server)
	must.NoError(t, err)
	must.Eq(t, 8, serial)
	must.StrContains(t, out.String(), "certificate_loaded")

	key, err := os.ReadFile(filepath.Join(dir, "key.pem"))
	must.NoError(t, err)
	write(t, dir, "key.pem", key[:len(key)/2])
	f.Reload()
	serial, err, _ = handshake(t, client, server)
	must.NoError(t, err)
	must.Eq(t, 8, serial)
	must.StrContains(t, out.String(), "certificate_refused")
	must.StrNotContains(t, out.String(), string(key[40:60]))
}

// A machine inside the network speaks the peers' protocol with a certificate
// of another authority, or with none, and tries to serve a text of its own.
// Neither end talks to it.
func TestPeersAuthenticateEachOther(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	ownDir, foreignDir := t.TempDir(), t.TempDir()
	own.issue(t, ownDir, 1)
	foreign.issue(t, foreignDir, 2)
	f := load(t, ownDir, own, &bytes.Buffer{})
	g := load(t, foreignDir, foreign, &bytes.Buffer{})

	_, _, serverErr := handshake(t, g.PeerClient(), f.PeerServer())
	must.ErrorContains(t, serverErr, "certificate")
	_, clientErr, _ := handshake(t, f.PeerClient(), g.PeerServer())
	must.ErrorContains(t, clientErr, "certificate of the peer")
	_, _, serverErr = handshake(t, &tls.Config{InsecureSkipVerify: true}, f.PeerServer())
	must.Error(t, serverErr)
}

func TestPlainWithoutCertificates(t *testing.T) {
	f, err := New(settings.TLS{}, event.Discard())
	must.NoError(t, err)
	must.Nil(t, f.CallerServer())
	must.Nil(t, f.PeerServer())
	must.Nil(t, f.PeerClient())
	_, err = New(settings.TLS{Cert: "none.pem", Key: "none.pem"}, event.Discard())
	must.ErrorContains(t, err, "none.pem")
}
