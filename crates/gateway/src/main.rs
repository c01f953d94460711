//! The `leverpoint` binary: the gateway daemon, and the commands that check its configuration and query a running one.

mod cli;
mod daemon;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
