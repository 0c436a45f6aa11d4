package event

import "github.com/sirupsen/logrus"

// Events of generations.
var (
	GenerationStarted = define(301, "generation_started", logrus.InfoLevel,
		"A generation started.", "generation", "account", "service")
	GenerationFinished = define(302, "generation_finished", logrus.InfoLevel,
		"A generation completed.", "generation", "tokens", "attempts", "finish")
	AttemptSuspected = define(303, "attempt_suspected", logrus.WarnLevel,
		"An attempt has delivered nothing for longer than is usual for its engine.", "generation", "attempt", "backend", "silent", "threshold")
	AttemptFailed = define(304, "attempt_failed", logrus.WarnLevel,
		"An attempt ended in an error.", "generation", "attempt", "backend", "error")
	AttemptWon = define(305, "attempt_won", logrus.InfoLevel,
		"An attempt delivered the next token; the others are cancelled.", "generation", "attempt", "backend", "offset", "resume")
	ChunkDropped = define(306, "chunk_dropped", logrus.DebugLevel,
		"Tokens of an outdated attempt or with an unexpected offset were dropped.", "generation", "attempt", "offset", "reason")
	GenerationFailed = define(307, "generation_failed", logrus.ErrorLevel,
		"A generation ended without a complete answer; the caller received an error.", "generation", "offset", "code")
	GenerationCancelled = define(308, "generation_cancelled", logrus.InfoLevel,
		"A generation has no reader left and was cancelled at its engine.", "generation", "offset")
	GenerationAdopted = define(309, "generation_adopted", logrus.WarnLevel,
		"A generation of another entry VM was taken over from a copy of its journal.", "generation", "from", "epoch", "offset")
	GenerationFenced = define(310, "generation_fenced", logrus.WarnLevel,
		"A newer owner continues this generation; this daemon stopped it.", "generation", "epoch")
	JournalMoved = define(311, "journal_moved", logrus.WarnLevel,
		"The copy of a generation's journal moved to another entry VM.", "generation", "from", "to", "reason")
	VersionChanged = define(312, "version_changed", logrus.InfoLevel,
		"All engines with the model version of a request rejected it; it continues with another version.", "generation", "from", "to")
	CopiesHandedOver = define(330, "copies_handed_over", logrus.InfoLevel,
		"A stopping daemon handed over its journal copies to other entry VMs.", "moved", "left")
)
