package command

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

func (c *Command) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Out, format, args...)
}

// printTable prints rows in aligned columns. The first row holds the headings.
func (c *Command) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, tablePadding, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func itoa[T int64 | uint64](n T) string {
	if n < 0 {
		return strconv.FormatInt(int64(n), 10)
	}
	return strconv.FormatUint(uint64(n), 10)
}
