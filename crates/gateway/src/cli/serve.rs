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

/// The options of `leverpoint serve`.
#[derive(Clone, Debug)]
pub(super) struct Options {
    operator: Option<String>,
    json: bool,
}

/// Parses the options of `leverpoint serve`.
pub(super) fn options() -> OptionParser<Options> {
    let operator = operator_file_option();
    let format = long("log")
        .help("Format of log lines: text (default) or json")
        .argument::<String>("HOW");
    let is_known = |format: &String| ["text", "json"].contains(&format.as_str());
    let format = format
        .guard(is_known, "expected text or json")
        .fallback("text".to_owned());
    let json = format.map(|format| format == "json");
    construct!(Options { operator, json })
        .to_options()
        .descr("Runs the gateway, configured by NODE_CONFIG and the other NODE_ variables")
}

/// Serves until SIGTERM. The output is empty; the log goes to standard error.
pub(super) fn run(options: Options) -> Result<Output, String> {
    let log = if options.json {
        Logger::root(JsonFormat.fuse(), o!())
    } else {
        Logger::root(TextFormat.fuse(), o!())
    };
    daemon::run(|| read_configuration(options.operator), log)?;
    Ok(Output::success(String::new()))
}

/// Reads the configuration and the operator's file, and checks the settings derived from both before anything starts.
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
