//! `leverpoint version`: prints the version of the program.

use bpaf::{OptionParser, Parser, pure};

use crate::cli::Output;

/// Parses the command line of `leverpoint version`, which takes no options.
pub(super) fn options() -> OptionParser<()> {
    pure(()).to_options().descr("Prints the version")
}

/// Returns the line that is printed: the program's name and its package version.
pub(super) fn run() -> Output {
    Output::success(format!("leverpoint {}\n", env!("CARGO_PKG_VERSION")))
}
