package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"siskinrun/internal/config/listing"
	"siskinrun/internal/config/operatorclient"
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

// printRows prints v as JSON if the flags ask for that, and otherwise its rows as a table.
func (c *Command) printRows(t *fleetFlags, v any, rows [][]string) error {
	if t.json {
		return c.printJSON(v)
	}
	return c.printTable(rows)
}

// printListing gets a listing from the fleet and prints it; rows returns its table.
func (c *Command) printListing(ctx context.Context, t *fleetFlags, path string, rows func(l *listing.Listing) [][]string) error {
	return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		l, err := k.Get(ctx, path)
		if err != nil {
			return err
		}
		return c.printRows(t, l, rows(l))
	})
}

func itoa[T int64 | uint64](n T) string {
	if n < 0 {
		return strconv.FormatInt(int64(n), 10)
	}
	return strconv.FormatUint(uint64(n), 10)
}
