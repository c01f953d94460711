//! Stand-ins on loopback for what a gateway meets, and the gateway as a child process.

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod record;
pub mod server;
pub mod wire;

/// Ends a case that could not run, and all gateways that it has started.
pub fn cannot_run(reason: &str) -> ! {
    gateway::end_all();
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

/// Whether the disruption of the case is played.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
