package main

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// keyPair makes a certificate and its key, in PEM.
func keyPair(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	issued, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	block := func(kind string, data []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}))
	}
	return block("CERTIFICATE", issued), block("PRIVATE KEY", encoded)
}

func TestExitCodes(t *testing.T) {
	good := filepath.Join("..", "..", "examples", "huon-ledger", "entry.json")
	text, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(bad, bytes.Replace(text, []byte("hedge_after"), []byte("hedge_afer"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	// tls writes settings whose callers' TLS has the two contents.
	tls := func(name, certificate, key string) string {
		files := map[string]string{"certificate": certificate, "key": key}
		for field, content := range files {
			files[field] = filepath.Join(dir, name+"."+field)
			if err := os.WriteFile(files[field], []byte(content), 0o600); content != "" && err != nil {
				t.Fatal(err)
			}
			if content == "" {
				os.Remove(files[field])
			}
		}
		field := fmt.Sprintf("\"entry\": {\n\"tls\": {\"certificate\": %q,\n\"key\": %q},", files["certificate"], files["key"])
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, bytes.Replace(text, []byte("\"entry\": {"), []byte(field), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certificate, key := keyPair(t)
	_, otherKey := keyPair(t)
	tests := []struct {
		name string
		args []string
		want int
		says string
	}{
		{"good settings", []string{"--config", good, "--check"}, exitOK, "settings are good"},
		{"bad settings", []string{"--config", bad, "--check"}, exitUsage, `want "hedge_after"?`},
		{"good TLS", []string{"--config", tls("good", certificate, key), "--check"}, exitOK, "settings are good"},
		{"key in one file", []string{"--config", tls("one", key+certificate, key+certificate), "--check"}, exitOK, "settings are good"},
		{"no certificate file", []string{"--config", tls("none", "", key), "--check"}, exitUsage, "entry.tls.certificate: can't be read: open "},
		{"no key file", []string{"--config", tls("keyless", certificate, ""), "--check"}, exitUsage, "entry.tls.key: can't be read: open "},
		{"files swapped", []string{"--config", tls("swapped", key, certificate), "--check"}, exitUsage, `entry.tls.certificate: "` + dir + `/swapped.certificate" has no PEM block "CERTIFICATE"; want`},
		{"broken certificate", []string{"--config", tls("broken", "-----BEGIN CERTIFICATE-----\nMAA=\n-----END CERTIFICATE-----\n", key), "--check"}, exitUsage, "is no certificate: x509"},
		{"another's key", []string{"--config", tls("other", certificate, otherKey), "--check"}, exitUsage, "entry.tls.key: \"" + dir + "/other.key\" doesn't go with"},
		{"another's key at the start", []string{"--config", tls("other", certificate, otherKey)}, exitUsage, "want the key that the file's first certificate was issued for"},
		{"no such file", []string{"--config", bad + "x"}, exitUsage, "no such file"},
		{"no settings", nil, exitUsage, "--config FILE is missing"},
		{"no value", []string{"--config"}, exitUsage, "needs an argument"},
		{"unknown flag", []string{"--confg", good}, exitUsage, "-confg"},
		{"an argument", []string{"--config", good, "--check", "entry"}, exitUsage, `unexpected argument "entry"`},
		{"help", []string{"--help"}, exitOK, "Exit codes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			got := execute(t.Context(), append([]string{"skylarkd"}, tt.args...), &out, &errOut)
			if said := out.String() + errOut.String(); got != tt.want || !strings.Contains(said, tt.says) {
				t.Errorf("exit %d, want %d with %q, said:\n%s", got, tt.want, tt.says, said)
			}
		})
	}
}
