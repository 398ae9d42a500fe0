package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// caseTimeout bounds a case, its start and its end included.
	caseTimeout = 112 * time.Second
)

// play runs a case and reports whether the rule held; an error says that the case could not run.
type play func(ctx context.Context, s *stage) (held bool, err error)

// cases are the plays by the names of their folders.
var cases = map[string]play{
	"11": playRolledStores,
	"12": playOtherVersion,
	"13": playLargeParts,
	"14": playForgottenPart,
	"15": playForgottenLeave,
}

func main() {
	os.Exit(run())
}

// run plays the case in the folder that the arguments name.
func run() int {
	if len(os.Args) != 2 || cases[filepath.Base(os.Args[1])] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-3 FOLDER-OF-A-CASE")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	s, err := newStage(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	held, err := cases[filepath.Base(os.Args[1])](ctx, s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun
	case held:
		s.note("the rule held")
		return exitHeld
	}
	s.note("the rule was broken")
	return exitBroken
}
