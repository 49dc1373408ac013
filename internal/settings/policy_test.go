package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"skylarklead/internal/route"
	"skylarklead/internal/settings"
)

// The settings accept every policy that the router has.
func TestPoliciesOfRoute(t *testing.T) {
	data, err := os.ReadFile("testdata/seeds/entry.json")
	if err != nil {
		t.Fatal(err)
	}
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
