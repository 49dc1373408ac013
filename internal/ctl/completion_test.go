package ctl

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// The bash completion script offers the commands and flags that skylarkctl lists.
// Shell functions replace the skylarkctl binary and _get_comp_words_by_ref, which
// belongs to the package bash-completion.
func TestBashCompletion(t *testing.T) {
	f := newFixture(t)
	args := os.Args
	t.Cleanup(func() { os.Args = args })
	script := f.run(ExitOK, "completion", "bash")
	for _, tt := range []struct {
		words []string // the last one is being typed
		want  string
	}{
		{[]string{""}, "config status explain drain help completion"},
		{[]string{"sta"}, "status"},
		{[]string{"config", "p"}, "publish"},
		{[]string{"status", "--o"}, "--output"},
		{[]string{"explain", "--f"}, "--fleet-key"},
	} {
		listed := tt.words
		if last := len(listed) - 1; !strings.HasPrefix(listed[last], "-") {
			listed = listed[:last]
		}
		listed = append(slices.Clone(listed), "--generate-shell-completion")
		os.Args = append([]string{"skylarkctl"}, listed...) // the cli library reads os.Args too
		lines := f.run(ExitOK, listed...)
		bash := exec.Command("bash", "--norc", "-c", fmt.Sprintf(`
_get_comp_words_by_ref() { cur=${COMP_WORDS[COMP_CWORD]}; }
skylarkctl() { [ "$*" = "$asked" ] && echo "$lines"; }
%s
COMP_WORDS=(skylarkctl "$@") COMP_CWORD=$#
__skylarkctl_bash_autocomplete
echo "${COMPREPLY[*]}"`, script), "bash")
		bash.Args = append(bash.Args, tt.words...)
		bash.Env = append(bash.Environ(), "lines="+lines, "asked="+strings.Join(listed, " "))
		got, err := bash.CombinedOutput()
		if err != nil || strings.TrimSpace(string(got)) != tt.want {
			t.Errorf("%q: got %q, %v; want %q", tt.words, got, err, tt.want)
		}
	}
}
