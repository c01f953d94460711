//! A database server that carries out a script, one action for each statement, whatever the statement says (only the
//! command tag of a row follows from it). An empty query is answered at once and takes no action of the script.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::addresses::bind_listener;
use crate::pace::{Pace, write_paced};
use crate::wire::{
    READ_TAG, WAIT_LIMIT, WRITE_TAG, empty_query_response, put_message, put_status, read_message,
    row_messages, unix_ms,
};

/// What a test server does with a statement.
#[derive(Clone)]
pub enum ServerAction {
    /// Answers with a row of this value, followed by the server's role, replication position and ReadyForQuery.
    Row(String),
    /// Like `Row`, with these bytes appended to the same write.
    RowThenBytes(String, Vec<u8>),
    /// Answers with an error of this SQLSTATE, followed by role, position and ReadyForQuery.
    ErrorCode(&'static str),
    /// Sends nothing until the peer closes the connection or sends a byte; then reports `closed` to
    /// [`Server::statements`].
    NoResponse,
    /// Closes the connection without an answer.
    Disconnect,
    /// Sends these bytes, then closes the connection.
    BytesThenDisconnect(Vec<u8>),
    /// Like `Row`, written at this pace.
    PacedRow(String, Pace),
    /// Waits for a signal of the test, then answers like `Row`.
    RowOnSignal(Arc<Mutex<Receiver<()>>>, String),
}

/// A running database server. All its connections share one script; its last action is repeated without end.
pub struct Server {
    /// Its listening address, `IP:port`.
    pub address: String,
    /// Statements in order of arrival, and `closed` for each end of a connection that [`ServerAction::NoResponse`] waited
    /// for.
    pub statements: Receiver<String>,
}

/// Starts a server on a free loopback port with this script. `mode` is the role that it reports (`read-write` or
/// `read-only`); with `no more connections` it refuses each connection with SQLSTATE 53300.
pub fn start_server(mode: &str, script: Vec<ServerAction>) -> Server {
    let listener = bind_listener();
    let address = listener.local_addr().unwrap().to_string();
    let (statement_tx, statement_rx) = mpsc::channel();
    let script = Arc::new(Mutex::new(VecDeque::from(script)));
    let mode = mode.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (statement_tx, script, mode) = (statement_tx.clone(), script.clone(), mode.clone());
            thread::spawn(move || serve(stream.unwrap(), &mode, &statement_tx, &script));
        }
    });
    Server {
        address,
        statements: statement_rx,
    }
}

fn serve(
    mut stream: TcpStream,
    mode: &str,
    statement_tx: &Sender<String>,
    script: &Mutex<VecDeque<ServerAction>>,
) -> Option<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut rest).ok()?;
    if mode == "no more connections" {
        let mut out = Vec::new();
        put_message(&mut out, b'E', b"SFATAL\0C53300\0Mno\0\0");
        return stream.write_all(&out).ok();
    }
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        if body == b"\0" {
            stream.write_all(&empty_query_response(mode)).ok()?;
            continue;
        }
        statement_tx
            .send(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
            .ok()?;
        let action = {
            let mut script = script.lock().unwrap();
            if script.len() > 1 {
                script.pop_front()?
            } else {
                script.front()?.clone()
            }
        };
        let (mut out, mut trailing) = (Vec::new(), Vec::new());
        let mut pace = Pace::Whole;
        let command_tag = if body.starts_with(b"INSERT") {
            WRITE_TAG
        } else {
            READ_TAG
        };
        match action {
            ServerAction::Row(value) => out = row_messages(&value, command_tag),
            ServerAction::PacedRow(value, new_pace) => {
                (out, pace) = (row_messages(&value, command_tag), new_pace)
            }
            ServerAction::RowThenBytes(value, bytes) => {
                (out, trailing) = (row_messages(&value, command_tag), bytes)
            }
            ServerAction::ErrorCode(code) => put_message(
                &mut out,
                b'E',
                format!("SERROR\0C{code}\0Mno\0\0").as_bytes(),
            ),
            ServerAction::NoResponse => {
                let _ = stream.read(&mut [0; 1]);
                return statement_tx.send("closed".into()).ok();
            }
            ServerAction::Disconnect => return None,
            ServerAction::BytesThenDisconnect(bytes) => return stream.write_all(&bytes).ok(),
            ServerAction::RowOnSignal(signal, value) => {
                signal.lock().unwrap().recv().ok()?;
                out = row_messages(&value, command_tag);
            }
        }
        let row_end = out.len();
        put_status(&mut out, mode, unix_ms());
        out.extend(trailing);
        write_paced(&mut stream, &out, row_end, pace).ok()?;
    }
}

/// Waits for the next statement that the server has received and returns it with the value of the comment's field `d`
/// (how long the gateway waits, which differs from run to run) replaced by `*`.
pub fn next_statement(server: &Server) -> String {
    let text = server
        .statements
        .recv_timeout(WAIT_LIMIT)
        .expect("a statement within the time limit");
    let Some((before, after)) = text.split_once(",d=") else {
        return text;
    };
    format!(
        "{before},d=*{}",
        after.trim_start_matches(|c: char| c.is_ascii_digit())
    )
}

/// Returns an action that answers with a row once the test has sent a signal, and the sender of that signal.
pub fn row_on_signal(value: &str) -> (Sender<()>, ServerAction) {
    let (signal_tx, signal_rx) = mpsc::channel();
    (
        signal_tx,
        ServerAction::RowOnSignal(Arc::new(Mutex::new(signal_rx)), value.into()),
    )
}

/// Returns a script that answers each statement with a row of this value.
pub fn always_row(value: &str) -> Vec<ServerAction> {
    vec![ServerAction::Row(value.into())]
}
