package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/certificate"
)

// writeCertificate writes a self-signed certificate that serves as its own authority.
func writeCertificate(t *testing.T, dir string, serial int64, at time.Time) (chain, key string) {
	t.Helper()
	is := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	d, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	is.NoErr(err)
	b, err := x509.MarshalPKCS8PrivateKey(k)
	is.NoErr(err)
	chain = filepath.Join(dir, "chain.pem")
	key = filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: d}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b}), 0o600))
	is.NoErr(os.Chtimes(chain, at, at))
	is.NoErr(os.Chtimes(key, at, at))
	return chain, key
}

// serverSerial returns the serial number of the certificate that a server presents, or the handshake error.
func serverSerial(server, client *tls.Config) (int64, error) {
	a, b := net.Pipe()
	end := time.Now().Add(500 * time.Millisecond)
	_ = a.SetDeadline(end)
	_ = b.SetDeadline(end)
	g := group.NewGroup(context.Background())
	s := tls.Server(a, server)
	g.Go("server", func(ctx context.Context) error { return s.HandshakeContext(ctx) })
	c := tls.Client(b, client)
	err := c.Handshake()
	if err == nil {
		err = g.Wait()
	}
	_ = a.Close()
	_ = b.Close()
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestReplacedCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	d := t.TempDir()
	now := time.Now()
	chain, key := writeCertificate(t, d, 1, now.Add(-time.Minute))
	m := timer.NewManual(now)
	c := &certificate.Reloader{CertificateFile: chain, KeyFile: key, CAFile: chain, RequireClientCertificate: true, Timer: m}
	server, err := c.ServerConfig()
	is.NoErr(err)
	client, err := c.ClientConfig()
	is.NoErr(err)
	client.ServerName = "127.0.0.1"
	n, err := serverSerial(server, client)
	is.NoErr(err)
	is.Equal(n, int64(1))
	writeCertificate(t, d, 2, now)
	m.Advance(time.Minute)
	n, err = serverSerial(server, client)
	is.NoErr(err)
	is.Equal(n, int64(2))
}

func TestClientOfOtherAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Now())
	chain, key := writeCertificate(t, t.TempDir(), 1, time.Now())
	other, otherKey := writeCertificate(t, t.TempDir(), 2, time.Now())
	s := &certificate.Reloader{CertificateFile: chain, KeyFile: key, CAFile: chain, RequireClientCertificate: true, Timer: m}
	server, err := s.ServerConfig()
	is.NoErr(err)
	c := &certificate.Reloader{CertificateFile: other, KeyFile: otherKey, CAFile: other, Timer: m}
	client, err := c.ClientConfig()
	is.NoErr(err)
	client.ServerName = "127.0.0.1"
	_, err = serverSerial(server, client)
	is.True(err != nil)
}

func TestMissingFiles(t *testing.T) {
	is := is.New(t)
	c := &certificate.Reloader{CertificateFile: "none", KeyFile: "none", Timer: timer.NewManual(time.Now())}
	_, err := c.ServerConfig()
	is.True(err != nil)
	s, err := (&certificate.Reloader{}).ServerConfig()
	is.NoErr(err)
	is.True(s == nil)
}
