package event

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

func TestPageEqualsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	must.NoError(t, err)
	test.Eq(t, string(Page()), string(page), test.Sprint(
		"docs/events.md and the catalogue differ; run: go run ./cmd/mallowctl events --write docs/events.md"))
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, d := range Catalogue() {
		test.MapNotContainsKey(t, numbers, d.Number, test.Sprintf("%d is both %s and %s", d.Number, numbers[d.Number], d.Name))
		test.MapNotContainsKey(t, names, d.Name, test.Sprintf("%s is both %d and %d", d.Name, names[d.Name], d.Number))
		numbers[d.Number], names[d.Name] = d.Name, d.Number
		test.MapContainsKey(t, categories, d.Number/numbersPerCategory, test.Sprintf("%s has no category", d.Name))
		test.NotEq(t, "", d.Help)
	}
}

func TestFieldsDoNotShadowCommonFields(t *testing.T) {
	for _, d := range Catalogue() {
		for _, f := range d.Fields {
			test.SliceNotContains(t, []string{"event", "name", "vm", "zone", "extra", "msg", "time", "level"}, f,
				test.Sprintf("%s shadows a common field", d.Name))
		}
	}
}

func TestEmitAssignsValuesToFields(t *testing.T) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	l.SetFormatter(&logrus.JSONFormatter{})
	d := Def{Number: 1, Name: "sample", Level: logrus.InfoLevel, Fields: []string{"a", "b"}, Help: "Sample."}
	New(l, "vm-1", "zone-a").Emit(d, 1, "two", 3)
	var line map[string]any
	must.NoError(t, json.Unmarshal(out.Bytes(), &line))
	for name, want := range map[string]any{"event": 1.0, "name": "sample", "vm": "vm-1", "zone": "zone-a", "a": 1.0, "b": "two", "extra": 3.0} {
		test.Eq(t, want, line[name])
	}
}
