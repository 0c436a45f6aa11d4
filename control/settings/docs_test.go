package settings

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
)

// The reference page must contain the tables generated from the schema.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	must.NoError(t, err)
	must.StrContains(t, string(page), inifile.MarkdownTables(Reference()))
}
