// Command standin3 plays the scripts of review/11 to review/15: it starts the processes of a small deployment
// and acts as their clients, workers, operator and network.
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// scenarios return whether the rule was broken. trouble is false for a play without the disruption.
var scenarios = map[string]func(rec *record, binary string, trouble bool) bool{
	"broken":   brokenConfig,
	"stranger": strangersEntry,
	"foreign":  foreignHeartbeat,
	"smuggled": smuggledRequest,
	"upload":   slowUpload,
}

func main() { os.Exit(play()) }

func play() (status int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 SCENARIO BINARY RECORD")
		return 2
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	rec := &record{out: io.MultiWriter(out), start: time.Now()}
	defer func() {
		if caught := recover(); caught != nil {
			rec.add("the case could not run: %v", caught)
			if _, ok := caught.(cannotRun); !ok {
				panic(caught)
			}
			status = 2
		}
	}()
	broken := scenarios[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	if broken {
		rec.add("RESULT: the rule was broken")
		return 1
	}
	rec.add("RESULT: the rule held")
	return 0
}
