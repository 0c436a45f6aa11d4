package once

import (
	"time"

	"mallowwind.dev/decision/verdict"
)

const (
	// defaultRetryAfter is the advised delay while a slot changes its owner, which takes about
	// a second.
	defaultRetryAfter = time.Second
)

// errUndecided says that the call may have run or may still run elsewhere.
func errUndecided(why string, after time.Duration) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeKeyUndecided,
		"%s; send it again with the same key to learn more", why).WithRetryAfter(after)
}

// errStale answers a copy that may have been delayed since before its key was refused. It is
// not dispatched, or a caller that trusted the refusal and used a new key would get two runs.
// The verdict is not not_run either, because a newer copy may run.
func errStale() *verdict.Error {
	return errUndecided("an earlier copy of this call was refused, and this one may be as old", defaultRetryAfter)
}

func errReused() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused,
		"this key was used with another method, path or body")
}

func errAnswerNotKept() *verdict.Error {
	return verdict.New(verdict.Ran, verdict.CodeAnswerNotKept,
		"the call ran once; its answer is no longer kept")
}

func errNoOutcome() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeKeyUndecided,
		"the call was bound by an entry VM that was lost before it said how the call ended; it will not be sent again")
}

func errNotSent(err error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoBackend,
		"no backend server could be reached").WithRetryAfter(defaultRetryAfter).WithCause(err)
}

func errNoAnswer(err error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed,
		"the call was sent and no whole answer came back").WithCause(err)
}

// asNotRun converts an error of the flow dispatcher, which has sent nothing, to a not_run error
// with a retry delay.
func asNotRun(err error) *verdict.Error {
	e := verdict.FromError(err)
	after := max(e.RetryAfter, defaultRetryAfter)
	return verdict.New(verdict.NotRun, e.Code, "%s", e.Message).WithRetryAfter(after).WithCause(err)
}
