package event

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// numbersPerCategory is the number of event numbers reserved for each category.
const numbersPerCategory = 100

// categories maps the first digit of an event number to the name of the category.
var categories = map[int]string{
	1: "Daemon",
	2: "Admission and routing",
	3: "Generations",
	4: "Calls that run at most once",
	5: "Configuration",
	6: "Membership",
	7: "Placement",
	8: "Platform",
}

// Page returns the content of docs/events.md: the catalogue as Markdown, sorted by number.
func Page() []byte {
	defs := Catalogue()
	slices.SortStableFunc(defs, func(a, b Def) int { return cmp.Compare(a.Number, b.Number) })
	var b bytes.Buffer
	b.WriteString("# Log events\n\n" +
		"Generated from the catalogue in `telemetry/event`. After a change there, run\n\n" +
		"    go run ./cmd/mallowctl events --write docs/events.md\n\n" +
		"Every line has the fields `event` (the number), `name`, `vm` and `zone`\nin addition to those listed here.\n")
	category := 0
	for _, d := range defs {
		if c := d.Number / numbersPerCategory; c != category {
			category = c
			fmt.Fprintf(&b, "\n## %s\n\n| number | name | level | fields | meaning |\n|--:|---|---|---|---|\n", categories[c])
		}
		fields := "`" + strings.Join(d.Fields, "`, `") + "`"
		if len(d.Fields) == 0 {
			fields = ""
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", d.Number, d.Name, d.Level, fields, d.Help)
	}
	return b.Bytes()
}
