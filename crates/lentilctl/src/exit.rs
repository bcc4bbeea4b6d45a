//! Exit codes.

use std::process::ExitCode;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All was done.
    Done = 0,
    /// It failed; no change was accepted beyond those printed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change came first.
    Conflict = 3,
    /// A change may have been accepted.
    Unknown = 4,
}

/// The exit codes, for the help text.
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
