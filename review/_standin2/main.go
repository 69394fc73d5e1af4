package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken, with a summary.
var cases = map[string]func(record *recorder, trouble bool) (broken bool, summary string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, disruption: %v", os.Args[1], trouble)
	broken, summary, err := cases[os.Args[1]](record, trouble)
	code := exitHeld
	switch {
	case err != nil:
		code, summary = exitNotRun, "not run: "+err.Error()
	case broken:
		code, summary = exitBroken, "rule broken: "+summary
	default:
		summary = "rule held: " + summary
	}
	record.log("%s", summary)
	fmt.Println(summary)
	os.Exit(code)
}
