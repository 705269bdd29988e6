package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// WriteStatus sorts the replies by role and name and writes a table with one row per process.
func WriteStatus(w io.Writer, replies []Reply) error {
	slices.SortFunc(replies, func(a, b Reply) int {
		return cmp.Or(cmp.Compare(a.Process.Role, b.Process.Role), cmp.Compare(a.Process.Name, b.Process.Name))
	})
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "NAME\tROLE\tZONE\tSTATE\tTICKET\tHASH\tAGE\tRUNNING\tQUEUED\tWINDOW\tTOKENS\tBINDINGS\tNOTES")
	for _, r := range replies {
		fmt.Fprintln(t, row(r))
	}
	return errors.Wrap(t.Flush(), "write table")
}

func row(r Reply) string {
	if r.Error != "" {
		return strings.Join([]string{r.Process.Name, r.Process.Role, r.Process.Zone, "unreachable", "", "", "", "", "", "", "", "", r.Error}, "\t")
	}
	s := r.Response.Status
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s",
		s.Name, s.Role, s.Zone, s.State, s.Number, s.Hash, formatSpan(s.Age),
		s.Running, s.Queued, s.Window, s.Tokens, s.Bindings, notes(s))
}

func formatSpan(d clock.Span) string {
	return d.Duration().Round(clock.Millisecond.Duration()).String()
}

// notes returns the problems that an operator should look into.
func notes(s *Status) string {
	var found []string
	if s.Missing != nil {
		found = append(found, fmt.Sprintf("ticket %d missing for %s", s.Missing.Number, formatSpan(s.Missing.MissingFor)))
	}
	for _, n := range s.Conflicts {
		found = append(found, fmt.Sprintf("ticket %d has two contents", n))
	}
	for _, k := range s.Skipped {
		found = append(found, fmt.Sprintf("ticket %d skipped: %s", k.Number, k.Reason))
	}
	return strings.Join(found, "; ")
}

// Decisions returns the decisions of all replies, sorted by attempt and time.
func Decisions(replies []Reply) []Decision {
	var all []Decision
	for _, r := range replies {
		all = append(all, r.Response.Decisions...)
	}
	slices.SortStableFunc(all, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Time, b.Time))
	})
	return all
}

// WriteDecisions writes a table with one row per decision, followed by its candidates.
func WriteDecisions(w io.Writer, decisions []Decision) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "ATTEMPT\tPROCESS\tDECISION\tBACKEND\tTICKET\tREASON")
	for _, d := range decisions {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%s\n", d.Attempt, d.Process, d.Kind, d.Backend, d.Ticket, d.Reason)
		for _, c := range d.Candidates {
			fmt.Fprintf(t, "\t\t\t%s\t\tzone %s, outstanding %d of %d, load %d tokens %s ago\n",
				c.Name, c.Zone, c.Outstanding, c.Grant, c.Load, formatSpan(c.Age))
		}
	}
	return errors.Wrap(t.Flush(), "write table")
}
