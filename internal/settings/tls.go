package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"strings"
)

// Suffixes of the types of the PEM blocks that the files must have. The types of
// private keys vary in their beginning.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// checkFiles checks the files that the settings name. Without this, a wrong file shows
// only when the process has its configuration and opens the port for callers: a
// rollout that passed --check would then lose one entry after the other.
func (c *checker) checkFiles() {
	if e := c.settings.Entry; e != nil && e.TLS != nil && e.TLS.Certificate != "" && e.TLS.Key != "" {
		c.checkTLSPair(e.TLS)
	}
}

func (c *checker) checkTLSPair(files *TLS) {
	certificate, ok := c.readPEMFile("entry.tls.certificate", files.Certificate, pemCertificate)
	key, keyOK := c.readPEMFile("entry.tls.key", files.Key, pemKey)
	if !ok || !keyOK {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		c.doc.Add("entry.tls.key", fmt.Sprintf("%q doesn't match %q: %v", files.Key, files.Certificate, err),
			"the key that the file's first certificate was issued for, without a passphrase")
	}
}

// readPEMFile returns the content of a file that has a PEM block whose type ends in
// kind. It adds problems at path.
func (c *checker) readPEMFile(path, name, kind string) ([]byte, bool) {
	data, err := os.ReadFile(name)
	if err != nil {
		c.doc.Add(path, fmt.Sprintf("can't be read: %v", err), "a PEM file that the daemon's user may read")
		return nil, false
	}
	block := firstBlock(data, kind)
	if block == nil {
		c.doc.Add(path, fmt.Sprintf("%q has no PEM block %q", name, kind), "the certificates in one file, the key in the other")
		return nil, false
	}
	if kind != pemCertificate {
		return data, true
	}
	if _, err := x509.ParseCertificate(block.Bytes); err != nil {
		c.doc.Add(path, fmt.Sprintf("%q is not a certificate: %v", name, err), "the file as it was issued")
		return nil, false
	}
	return data, true
}

func firstBlock(data []byte, kind string) *pem.Block {
	for {
		block, rest := pem.Decode(bytes.TrimSpace(data))
		if block == nil || strings.HasSuffix(block.Type, kind) {
			return block
		}
		data = rest
	}
}
