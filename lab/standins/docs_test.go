package standins

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
)

// TestDocsListEveryKey checks that docs/platform-protocols.md mentions every key of the field
// tables.
func TestDocsListEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "platform-protocols.md"))
	must.NoError(t, err)
	var rows []inifile.Row
	rows = append(rows, inifile.Rows(kindPlatform, platformFields)...)
	rows = append(rows, inifile.Rows(kindStore, storeFields)...)
	rows = append(rows, inifile.Rows(kindVMList, vmListFields)...)
	rows = append(rows, inifile.Rows(kindWeights, weightsFields)...)
	rows = append(rows, inifile.Rows(kindEntry, entryFields)...)
	rows = append(rows, inifile.Rows(kindEngines, engineFields)...)
	rows = append(rows, inifile.Rows(kindPlain, plainFields)...)
	for _, row := range rows {
		must.StrContains(t, string(page), "`"+row.Key+"`")
	}
}
