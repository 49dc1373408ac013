// Command harness-2 plays the scripted cases of the second review: real processes of the project beside
// stand-ins of clients, replicas and the platform. It exits with 1 if the case's rule was broken, with 0
// if it held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns one line for each break of the rule.
type scenario struct {
	setUp func(*site) error
	play  func(*site, bool) ([]string, error)
}

var scenarios = map[string]scenario{
	"drain":    {setUpDrain, playDrain},
	"nameless": {setUpNameless, playNameless},
	"poison":   {setUpPoison, playPoison},
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return exitNotRun
	}
	c, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "harness-2: unknown case %q\n", os.Args[1])
		return exitNotRun
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness-2:", err)
		return exitNotRun
	}
	breaks, err := playCase(log, c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("not run    %v", err)
		fmt.Fprintln(os.Stderr, "harness-2:", err)
		return exitNotRun
	}
	for _, line := range breaks {
		log.add("broken     %s", line)
		fmt.Println("broken:", line)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	log.add("held")
	fmt.Println("held")
	return exitHeld
}

func playCase(log *record, c scenario, trouble bool) ([]string, error) {
	s, err := newSite(log)
	if err != nil {
		return nil, err
	}
	// LOGS names a folder for the entries' logs.
	defer s.end(os.Getenv("LOGS"))
	if err := c.setUp(s); err != nil {
		return nil, err
	}
	return c.play(s, trouble)
}
