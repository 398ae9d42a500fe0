package executor

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var faults = flag.Bool("faults", false, "insert deliberate faults into the code and check that the randomised runs detect them")

// fault is a change of one source file that must make a randomised run fail.
type fault struct {
	name string
	file string
	old  string
	new  string
	// alsoOld, if set, is text in the same file that is replaced by alsoNew.
	alsoOld string
	alsoNew string
}

var deliberateFaults = []fault{
	{
		name:    "a second completion overwrites the first",
		file:    "../ledger/finish.go",
		old:     "\tif s.state > itemLeased {\n",
		new:     "\tif false {\n",
		alsoOld: "\tl.removeLease(e)\n\tw.inline.updateProgress",
		alsoNew: "\tw.inline.updateProgress",
	},
	{
		name: "an outcome does not end the lease",
		file: "../ledger/finish.go",
		old:  "\tl.removeLease(e)\n\tw.inline.updateProgress",
		new:  "\tw.inline.updateProgress",
	},
	{
		name: "fencing tokens repeat",
		file: "../ledger/lease.go",
		old:  "\tl.lastFence++\n\te := &lease{job: w, index: i, fence: l.lastFence,",
		new:  "\tl.lastFence = max(l.lastFence, uint64(i)+1)\n\te := &lease{job: w, index: i, fence: uint64(i) + 1,",
	},
	{
		name: "a job counts as cancelled while items are leased",
		file: "../ledger/job.go",
		old:  "\tcase j.Leased > 0:\n\t\treturn\n",
		new:  "",
	},
	{
		name: "items of a cancelled job are still leased",
		file: "../ledger/job.go",
		old:  "return w.info.State == jobRunning && (",
		new:  "return (",
	},
	{
		name: "an item is sent before its intent is recorded",
		file: "random_test.go",
		old:  "\t\tif t.item.Repeatable {\n\t\t\th.launch(t)\n\t\t\tcontinue\n\t\t}\n",
		new:  "\t\th.launch(t)\n\t\tcontinue\n",
	},
	{
		name: "the intent of a lost holder is ignored",
		file: "../ledger/lease.go",
		old:  "case e.intended && !w.info.Repeatable:",
		new:  "case false:",
	},
	{
		name: "leases are not rebased on the clock of a new leader",
		file: "../ledger/ledger.go",
		old:  "\t\tl.rebaseDeadlines()\n",
		new:  "",
	},
	{
		name: "stored results are not truncated to their recorded size at a restart",
		file: "../ledger/load.go",
		old:  "if err := s.Truncate(n, size); err != nil {",
		new:  "if err := s.Truncate(n, 0*size); err != nil {",
	},
	{
		name: "contents are not synced before a snapshot",
		file: "../ledger/save.go",
		old:  "\tif err := l.Storage.Sync(); err != nil {\n\t\treturn nil, nil, err\n\t}\n",
		new:  "",
	},
	{
		name: "a resent job is accepted as a new one",
		file: "../ledger/job.go",
		old:  "\tif e == nil {\n\t\te = &entry.Key{",
		new:  "\tif e == nil || r.File != \"\" {\n\t\te = &entry.Key{",
	},
	{
		name: "the attempts of an item are not limited",
		file: "../ledger/finish.go",
		old:  "if uint32(s.attempts) >= w.info.Attempts {",
		new:  "if uint32(s.attempts) > 1_000_000 {",
	},
	{
		name: "a host does not stop its items when its session expires",
		file: "stop.go",
		old:  "\t\tif lost && !t.stopping {\n\t\t\ta = append(a, t)\n\t\t}\n",
		new:  "",
	},
}

// TestDeliberateFaults checks that the randomised runs detect each fault. It runs only with -faults, since it
// compiles the package once for each fault.
func TestDeliberateFaults(t *testing.T) {
	if !*faults {
		t.Skip("run with -args -faults")
	}
	for _, f := range deliberateFaults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			o, err := runWithFault(t, f)
			is.True(err != nil) // the fault must be detected
			is.True(strings.Contains(o, "FAIL") && !strings.Contains(o, "build failed"))
			t.Log(failureLine(o))
		})
	}
}

// runWithFault runs 400 seeds with the fault applied to a copy of its file.
func runWithFault(t *testing.T, f fault) (string, error) {
	is := is.New(t)
	p, err := filepath.Abs(f.file)
	is.NoErr(err)
	b, err := os.ReadFile(p)
	is.NoErr(err)
	is.Equal(strings.Count(string(b), f.old), 1) // the text occurs once
	c := strings.Replace(string(b), f.old, f.new, 1)
	if f.alsoOld != "" {
		is.Equal(strings.Count(c, f.alsoOld), 1)
		c = strings.Replace(c, f.alsoOld, f.alsoNew, 1)
	}
	n := filepath.Join(t.TempDir(), "changed.go")
	is.NoErr(os.WriteFile(n, []byte(c), 0o600))
	m, err := json.Marshal(map[string]map[string]string{"Replace": {p: n}})
	is.NoErr(err)
	v := filepath.Join(t.TempDir(), "overlay.json")
	is.NoErr(os.WriteFile(v, m, 0o600))
	x := exec.Command("go", "test", "-overlay", v, "-run", "TestRandomisedRuns", ".", "-args", "-seeds", "400")
	o, err := x.CombinedOutput()
	return string(o), err
}

// failureLine returns the first line of the output that tells which failure was detected.
func failureLine(o string) string {
	for _, l := range strings.Split(o, "\n") {
		if strings.Contains(l, "err:") || strings.Contains(l, "panic:") {
			return strings.TrimSpace(l)
		}
	}
	return "the output names no failure"
}
