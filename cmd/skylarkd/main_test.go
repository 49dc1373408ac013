package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"skylarklead/test/kit"
)

func TestExitCodes(t *testing.T) {
	good := filepath.Join("..", "..", "examples", "huon-ledger", "entry.json")
	text := kit.Must(os.ReadFile(good))(t)
	bad := filepath.Join(t.TempDir(), "entry.json")
	kit.OK(t, os.WriteFile(bad, bytes.Replace(text, []byte("hedge_after"), []byte("hedge_afer"), 1), 0o600))
	dir := t.TempDir()
	// tls writes the certificate and the key to files, unless empty, and returns the
	// path of settings with both files for callers' TLS.
	tls := func(name, certificate, key string) string {
		field := `"entry": {` + "\n" + `"tls": {`
		for kind, content := range map[string]string{"certificate": certificate, "key": key} {
			path := filepath.Join(dir, name+"."+kind)
			field += fmt.Sprintf("%q: %q, ", kind, path)
			if content != "" {
				kit.OK(t, os.WriteFile(path, []byte(content), 0o600))
			}
		}
		path := filepath.Join(dir, name)
		kit.OK(t, os.WriteFile(path, bytes.Replace(text, []byte(`"entry": {`), []byte(field+"},"), 1), 0o600))
		return path
	}
	pair := func() (string, string) {
		certificate, key := kit.KeyPair(t)
		return string(certificate), string(key)
	}
	certificate, key := pair()
	_, otherKey := pair()
	tests := []struct {
		name       string
		args       []string
		want       int
		wantOutput string
	}{
		{"good settings", []string{"--config", good, "--check"}, exitOK, "settings are good"},
		{"bad settings", []string{"--config", bad, "--check"}, exitUsage, `want "hedge_after"?`},
		{"good TLS", []string{"--config", tls("good", certificate, key), "--check"}, exitOK, "settings are good"},
		{"key in one file", []string{"--config", tls("one", key+certificate, key+certificate), "--check"}, exitOK, "settings are good"},
		{"no certificate file", []string{"--config", tls("none", "", key), "--check"}, exitUsage, "entry.tls.certificate: can't be read: open "},
		{"no key file", []string{"--config", tls("keyless", certificate, ""), "--check"}, exitUsage, "entry.tls.key: can't be read: open "},
		{"files swapped", []string{"--config", tls("swapped", key, certificate), "--check"}, exitUsage, `entry.tls.certificate: "` + dir + `/swapped.certificate" has no PEM block "CERTIFICATE"; want`},
		{"broken certificate", []string{"--config", tls("broken", "-----BEGIN CERTIFICATE-----\nMAA=\n-----END CERTIFICATE-----\n", key), "--check"}, exitUsage, "is not a certificate: x509"},
		{"another's key", []string{"--config", tls("other", certificate, otherKey), "--check"}, exitUsage, "entry.tls.key: \"" + dir + "/other.key\" doesn't match"},
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
			if output := out.String() + errOut.String(); got != tt.want || !strings.Contains(output, tt.wantOutput) {
				t.Errorf("exit %d, want %d with %q, output:\n%s", got, tt.want, tt.wantOutput, output)
			}
		})
	}
}

// settingsPipe is the environment variable that has TestSIGHUPAtTheStartDoesNotEndTheProcess run the daemon.
const settingsPipe = "SKYLARKD_TEST_SETTINGS_PIPE"

// Guards against a SIGHUP that ends a process of any role before the role runs.
func TestSIGHUPAtTheStartDoesNotEndTheProcess(t *testing.T) {
	if path := os.Getenv(settingsPipe); path != "" {
		os.Exit(execute(t.Context(), []string{"skylarkd", "--config", path}, io.Discard, io.Discard))
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	kit.OK(t, syscall.Mkfifo(path, 0o600))
	daemon := exec.Command(os.Args[0], "-test.run=^TestSIGHUPAtTheStartDoesNotEndTheProcess$")
	daemon.Env = append(os.Environ(), settingsPipe+"="+path)
	kit.OK(t, daemon.Start())
	settings := kit.Must(os.OpenFile(path, os.O_WRONLY, 0))(t) // waits until the daemon reads its settings
	kit.OK(t, daemon.Process.Signal(syscall.SIGHUP))
	_, err := settings.WriteString("no settings")
	kit.OK(t, errors.Join(err, settings.Close()))
	if err := daemon.Wait(); daemon.ProcessState.ExitCode() != exitUsage {
		t.Errorf("the process ended with %v, want exit code %d", err, exitUsage)
	}
}
