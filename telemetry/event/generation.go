package event

import "github.com/sirupsen/logrus"

// Events of generations.
var (
	GenerationStarted = define(301, "generation_started", logrus.InfoLevel,
		"A generation began.", "generation", "account", "service")
	GenerationFinished = define(302, "generation_finished", logrus.InfoLevel,
		"A generation reached its end.", "generation", "tokens", "attempts", "finish")
	AttemptSuspected = define(303, "attempt_suspected", logrus.WarnLevel,
		"An attempt has been silent for longer than its engine usually is.", "generation", "attempt", "backend", "silent", "threshold")
	AttemptFailed = define(304, "attempt_failed", logrus.WarnLevel,
		"An attempt ended in an error.", "generation", "attempt", "backend", "error")
	AttemptWon = define(305, "attempt_won", logrus.InfoLevel,
		"An attempt delivered the next token; the others are cancelled.", "generation", "attempt", "backend", "offset", "resume")
	ChunkDropped = define(306, "chunk_dropped", logrus.DebugLevel,
		"Tokens of an older attempt or a passed offset were dropped.", "generation", "attempt", "offset", "reason")
	GenerationFailed = define(307, "generation_failed", logrus.ErrorLevel,
		"A generation ended without its whole answer; the caller was told.", "generation", "offset", "code")
	GenerationCancelled = define(308, "generation_cancelled", logrus.InfoLevel,
		"Nobody reads a generation any more; it was cancelled at its engine.", "generation", "offset")
	GenerationAdopted = define(309, "generation_adopted", logrus.WarnLevel,
		"A generation of another entry VM was taken over from its journal copy.", "generation", "from", "epoch", "offset")
	GenerationFenced = define(310, "generation_fenced", logrus.WarnLevel,
		"A newer owner continues this generation; this one stopped.", "generation", "epoch")
	JournalMoved = define(311, "journal_moved", logrus.WarnLevel,
		"The journal copy of a generation moved to another entry VM.", "generation", "from", "to", "reason")
	VersionChanged = define(312, "version_changed", logrus.InfoLevel,
		"All engines with a request's version turned it away; it goes on with another one.", "generation", "from", "to")
	CopiesHandedOver = define(330, "copies_handed_over", logrus.InfoLevel,
		"A stopping daemon gave the copies it holds to other entry VMs.", "moved", "left")
)
