package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

// The settings must accept every policy of package route.
func TestPoliciesOfRoute(t *testing.T) {
	data := kit.Must(os.ReadFile("testdata/seeds/entry.json"))(t)
	for _, policy := range []route.Policy{
		route.PolicyOwner, route.PolicyRandom, route.PolicyRoundRobin, route.PolicyLeastLoaded,
		route.PolicyWholePrompt, route.PolicyBoundedLoad, route.PolicyPrefixTables,
	} {
		text := strings.Replace(string(data), `"retry_share"`, fmt.Sprintf(`"policy": %q, "retry_share"`, policy), 1)
		if _, err := settings.Parse([]byte(text), "entry.json"); err != nil {
			t.Error(err)
		}
	}
}
