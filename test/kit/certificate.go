package kit

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// KeyPair returns a new self-signed certificate for 127.0.0.1, valid for an hour,
// and its private key, both in PEM.
func KeyPair(t TB) (certificate, key []byte) {
	t.Helper()
	private := Must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	issued := Must(x509.CreateCertificate(rand.Reader, template, template, private.Public(), private))(t)
	encoded := Must(x509.MarshalPKCS8PrivateKey(private))(t)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: issued}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
}
