//! Exit codes.

use std::process::ExitCode;

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command was done completely.
    Done = 0,
    /// The command failed. No change was accepted except those that were printed.
    Failed = 1,
    /// The command line is wrong, or a required option is missing.
    Usage = 2,
    /// Another change of the document was accepted first.
    Conflict = 3,
    /// The outcome of a change is unknown: it may have been accepted.
    Unknown = 4,
}

/// Exit codes, as the help text lists them.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  failed; no change was accepted beyond those printed
  2  wrong command line
  3  conflict: another change came first
  4  unknown: the change may have been accepted";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
