// Command standin plays the cases of the review: it is the platform that starts the daemons, the
// operator, the workers and the clients. It is run by the scripts review/N/run.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time of a case.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: standin CASE RECORD")
	}
	play := map[string]func(rec *record, trouble bool) bool{
		"silence": playSilence, "overlap": playOverlap, "bigbody": playBigBody, "trailing": playTrailing, "replaced": playReplaced, "late": playLate, "endless": playEndless, "twovoters": playTwoVoters, "forgotten": playForgotten,
	}[os.Args[1]]
	if play == nil {
		cannotRun("unknown case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		cannotRun("stopped or over the time limit")
	}()
	broken := play(rec, trouble)
	runStops()
	if broken {
		rec.line("RULE BROKEN")
		fmt.Println("rule broken")
		os.Exit(1)
	}
	rec.line("rule held")
	fmt.Println("rule held")
}
