//! The command line: one module per subcommand, and the log formats.

mod check;
mod copies;
mod log_format;
mod members;
mod serve;
mod version;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use leverpoint_config::ConfigError;
use leverpoint_config::operator::{self, OperatorConfig};

/// The text that a subcommand prints on standard output, and whether it exits with status 0 or 1.
struct Output {
    text: String,
    success: bool,
}

impl Output {
    /// Output with exit status 0.
    fn success(text: String) -> Self {
        Output {
            text,
            success: true,
        }
    }
}

/// A parsed subcommand with its options.
#[derive(Clone, Debug)]
enum Command {
    Serve(serve::Options),
    Version,
    Check(check::Options),
    Members(members::Options),
    Copies(copies::Options),
}

/// Runs the subcommand that the program's arguments name, and returns the exit status.
///
/// An error is printed on standard error, on one line with the prefix `leverpoint: `.
pub(crate) fn run() -> ExitCode {
    let result = match command_line().run() {
        Command::Serve(options) => serve::run(options),
        Command::Version => Ok(version::run()),
        Command::Check(options) => check::run(options).map_err(|error| error.to_string()),
        Command::Members(options) => members::run(&options),
        Command::Copies(options) => copies::run(&options),
    };
    match result {
        Ok(output) => {
            print!("{}", output.text);
            if output.success {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("leverpoint: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The parser of all subcommands.
fn command_line() -> OptionParser<Command> {
    let serve = serve::options().command("serve").map(Command::Serve);
    let members = members::options().command("members").map(Command::Members);
    let copies = copies::options().command("copies").map(Command::Copies);
    let version = version::options().command("version");
    let version = version.map(|()| Command::Version);
    let check = check::options().command("check").map(Command::Check);
    construct!([serve, members, copies, version, check])
        .to_options()
        .descr("A read and write splitter for database clusters")
}

/// Parses the option `--operator`, the path of the operator's file.
fn operator_file_option() -> impl Parser<Option<String>> {
    long("operator")
        .help("Path of the operator's file, in HCL")
        .argument::<String>("FILE")
        .optional()
}

/// Reads the operator's file, or returns the defaults if none is given.
fn read_operator_file(file: Option<String>) -> Result<OperatorConfig, ConfigError> {
    file.map_or(Ok(OperatorConfig::default()), |file| {
        operator::from_file(&file)
    })
}
