package command

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/loadpage"
	"siskinrun/internal/measure/summary"
)

// loadOutput are the flags for the format and the files of summaries.
type loadOutput struct {
	json   bool
	report string
	html   string
}

func (c *Command) showSummary(s *summary.Summary, o *loadOutput) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := os.WriteFile(o.report, b, 0o600); err != nil {
			return err
		}
	}
	if err := saveLoads(o.html, s); err != nil {
		return err
	}
	if o.json {
		_, err = fmt.Fprintln(c.Out, string(b))
	} else {
		err = s.Print(c.Out)
	}
	if err == nil && s.FaultCount > 0 {
		err = errors.Newf("%d answers were lost, mismatched, truncated or wrong", s.FaultCount)
	}
	return err
}

// compareLoads prints saved summaries side by side.
func (c *Command) compareLoads(files []string, o *loadOutput) error {
	if len(files) < 2 {
		return errors.New("--compare must be given at least twice")
	}
	var l []*summary.Summary
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		s := &summary.Summary{}
		if err := json.Unmarshal(b, s); err != nil {
			return errors.Wrapf(err, "read %s", f)
		}
		l = append(l, s)
	}
	if err := saveLoads(o.html, l...); err != nil {
		return err
	}
	if o.json {
		return c.printJSON(l)
	}
	return loadpage.NewView(l...).Print(c.Out)
}

func saveLoads(path string, l ...*summary.Summary) error {
	if path == "" {
		return nil
	}
	p, err := loadpage.NewView(l...).Page()
	if err != nil {
		return err
	}
	return p.Save(path)
}
