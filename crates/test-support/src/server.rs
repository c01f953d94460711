//! Owns a database server that does as it is told, statement by statement.
//!
//! It must never decide what it does by what a statement says.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::pace::{Pace, write_paced};
use crate::wire::{
    READ_TAG, WAIT_LIMIT, WRITE_TAG, put_message, read_message, row_messages, unix_ms,
};

/// What a stand-in server does with a statement.
#[derive(Clone)]
pub enum ServerAction {
    /// Answers with a row of this value, then says its role and position.
    Row(String),
    /// The same with these bytes right behind it.
    RowThenBytes(String, Vec<u8>),
    ErrorCode(&'static str),
    /// Says nothing more until the other side closes; then tells the test so.
    NoResponse,
    /// Ends the connection without a word.
    Disconnect,
    /// Sends these bytes, then ends the connection.
    BytesThenDisconnect(Vec<u8>),
    /// A row, written at this pace.
    PacedRow(String, Pace),
    /// Waits for the test's word, then answers with a row.
    RowOnSignal(Arc<Mutex<Receiver<()>>>, String),
}

/// A database server that does the next of what it was told for each statement, the last again and again.
pub struct Server {
    pub address: String,
    pub statements: Receiver<String>,
}

pub fn start_server(mode: &str, does: Vec<ServerAction>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tell, heard) = mpsc::channel();
    let does = Arc::new(Mutex::new(VecDeque::from(does)));
    let mode = mode.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (tell, does, mode) = (tell.clone(), does.clone(), mode.clone());
            thread::spawn(move || serve(stream.unwrap(), &mode, &tell, &does));
        }
    });
    Server {
        address,
        statements: heard,
    }
}

fn serve(
    mut stream: TcpStream,
    mode: &str,
    tell: &Sender<String>,
    does: &Mutex<VecDeque<ServerAction>>,
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
        tell.send(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
            .ok()?;
        let next = {
            let mut does = does.lock().unwrap();
            if does.len() > 1 {
                does.pop_front()?
            } else {
                does.front()?.clone()
            }
        };
        let (mut out, mut more) = (Vec::new(), Vec::new());
        let mut pace = Pace::Whole;
        let done = if body.starts_with(b"INSERT") {
            WRITE_TAG
        } else {
            READ_TAG
        };
        match next {
            ServerAction::Row(value) => out = row_messages(&value, done),
            ServerAction::PacedRow(value, at) => (out, pace) = (row_messages(&value, done), at),
            ServerAction::RowThenBytes(value, bytes) => {
                (out, more) = (row_messages(&value, done), bytes)
            }
            ServerAction::ErrorCode(code) => put_message(
                &mut out,
                b'E',
                format!("SERROR\0C{code}\0Mno\0\0").as_bytes(),
            ),
            ServerAction::NoResponse => {
                let _ = stream.read(&mut [0; 1]);
                return tell.send("closed".into()).ok();
            }
            ServerAction::Disconnect => return None,
            ServerAction::BytesThenDisconnect(bytes) => return stream.write_all(&bytes).ok(),
            ServerAction::RowOnSignal(word, value) => {
                word.lock().unwrap().recv().ok()?;
                out = row_messages(&value, done);
            }
        }
        let ends = out.len();
        // Role and position come behind the row, one at a time.
        put_message(&mut out, b'S', format!("mode\0{mode}\0").as_bytes());
        put_message(
            &mut out,
            b'S',
            format!("wal_time\0{}\0", unix_ms()).as_bytes(),
        );
        put_message(&mut out, b'Z', b"I");
        out.extend(more);
        write_paced(&mut stream, &out, ends, pace).ok()?;
    }
}

/// The statement that a server heard, with the gateway's own wait left out.
pub fn next_statement(server: &Server) -> String {
    let text = server
        .statements
        .recv_timeout(WAIT_LIMIT)
        .expect("a statement");
    let Some((front, back)) = text.split_once(",d=") else {
        return text;
    };
    format!(
        "{front},d=*{}",
        back.trim_start_matches(|c: char| c.is_ascii_digit())
    )
}

/// What waits for the test's word, and how to give it.
pub fn row_on_signal(value: &str) -> (Sender<()>, ServerAction) {
    let (go, word) = mpsc::channel();
    (
        go,
        ServerAction::RowOnSignal(Arc::new(Mutex::new(word)), value.into()),
    )
}

pub fn always_row(value: &str) -> Vec<ServerAction> {
    vec![ServerAction::Row(value.into())]
}
