//! `leverpoint serve`: runs the gateway until SIGTERM.

use bpaf::{OptionParser, Parser, construct, long};
use leverpoint_config::ConfigError;
use leverpoint_config::node::{self, NodeConfig};
use leverpoint_config::operator::OperatorConfig;
use leverpoint_gateway::{gateway, membership};
use slog::{Drain, Logger, o};

use crate::cli::log_format::{JsonFormat, TextFormat};
use crate::cli::{Output, operator_file_option, read_operator_file};
use crate::daemon;

/// The options of the subcommand.
#[derive(Clone, Debug)]
pub(super) struct Options {
    operator: Option<String>,
    json: bool,
}

/// Parses the options.
pub(super) fn options() -> OptionParser<Options> {
    let operator = operator_file_option();
    let format = long("log")
        .help("How log lines are written: text (default) or json")
        .argument::<String>("HOW");
    let is_known = |format: &String| ["text", "json"].contains(&format.as_str());
    let format = format
        .guard(is_known, "expected text or json")
        .fallback("text".to_owned());
    let json = format.map(|format| format == "json");
    construct!(Options { operator, json })
        .to_options()
        .descr("Serves, as NODE_CONFIG and the other NODE_ variables say")
}

/// Serves until the process is told to end.
pub(super) fn run(options: Options) -> Result<Output, String> {
    let log = if options.json {
        Logger::root(JsonFormat.fuse(), o!())
    } else {
        Logger::root(TextFormat.fuse(), o!())
    };
    daemon::run(|| read_configuration(options.operator), log)?;
    Ok(Output::success(String::new()))
}

/// Reads the configuration and checks what is derived from it.
fn read_configuration(
    operator: Option<String>,
) -> Result<(NodeConfig, OperatorConfig), ConfigError> {
    let node = node::from_environment(|name| std::env::var(name).ok())?;
    let operator = read_operator_file(operator)?;
    gateway::backpressure_limits(&node, &operator)?;
    membership::membership_settings(&node, &operator)?;
    gateway::replication_settings(&node, &operator)?;
    Ok((node, operator))
}
