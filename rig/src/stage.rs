//! Owns what the experiments set up alike: the real program, a gateway in front of a set, a connection to one.
//!
//! It must never measure anything.

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};

use leverpoint_stands::agent::agent;
use leverpoint_stands::gateway::{self, Gateway};
use leverpoint_stands::wire::{STARTUP, http, message, put, query};

use crate::sessions::{Asked, PATIENCE, operator};
use crate::slow::SETTINGS;

/// The gateway's program: the one that is named, else the one beside this.
pub fn program(named: &Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("leverpoint");
    let program = named.clone().unwrap_or(beside);
    if !program.is_file() {
        return Err(format!("no gateway at {}: build it, or name it with --program", program.display()));
    }
    Ok(program)
}

/// A gateway that follows sessions as it is asked to, at an address of its own: one before may still have its old one.
pub fn start(asked: &Asked, program: &Path, known: &str, name: &str) -> Gateway {
    let agent = agent();
    let _ = agent.say.send(http(known));
    let address = gateway::free_address();
    let text = gateway::config(&address, &agent.address, known, SETTINGS);
    let operator = operator(asked, name).expect("a file is written");
    let words: &[&str] = if asked.without { &[] } else { &["--operator", &operator] };
    gateway::start(&text, address, agent, program, words)
}

/// A connection that is admitted.
pub fn connect(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE * 2)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(STARTUP).ok()?;
    while message(&mut stream)?.0 != b'Z' {}
    Some(stream)
}

/// One answer, whole: its messages, up to ready.
pub fn ask(stream: &mut TcpStream, text: &str) -> Option<Vec<u8>> {
    stream.write_all(&query(text)).ok()?;
    let mut heard = Vec::new();
    loop {
        let (tag, body) = message(stream)?;
        put(&mut heard, tag, &body);
        if tag == b'Z' {
            return Some(heard);
        }
    }
}
