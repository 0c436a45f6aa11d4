package event

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// numbersPerCategory is the size of one range of event numbers.
const numbersPerCategory = 100

// categories names each range of numbers, by its first digit.
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

// Page returns docs/events.md: the catalogue as Markdown, by number.
func Page() []byte {
	defs := Catalogue()
	slices.SortStableFunc(defs, func(a, b Def) int { return cmp.Compare(a.Number, b.Number) })
	var b bytes.Buffer
	b.WriteString("# Log events\n\n" +
		"Written from the catalogue in `telemetry/event`; after a change there, run\n\n" +
		"    go run ./cmd/mallowctl events --write docs/events.md\n\n" +
		"Every line has the fields `event` (the number), `name`, `vm` and `zone`\nbeside those listed here.\n")
	concern := 0
	for _, d := range defs {
		if c := d.Number / numbersPerCategory; c != concern {
			concern = c
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
