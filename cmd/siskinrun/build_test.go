package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// buildFolder holds the program that the tests of this package start.
var buildFolder string

// TestMain removes what the tests have built.
func TestMain(m *testing.M) {
	var err error
	buildFolder, err = os.MkdirTemp("", "siskinrun-build")
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(buildFolder)
	os.Exit(code)
}

// buildOnce builds siskinrun for all tests of a run and returns its path.
var buildOnce = sync.OnceValues(func() (string, error) {
	p := filepath.Join(buildFolder, "siskinrun")
	out, err := exec.Command("go", "build", "-o", p, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return p, nil
})

// buildProgram returns the path of siskinrun as built from this folder.
func buildProgram(t testing.TB) string {
	t.Helper()
	p, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return p
}
