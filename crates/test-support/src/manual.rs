//! A database server and a discovery agent that a test drives byte by byte: they accept connections and read requests,
//! but answer, close and wait only when the test calls for it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::addresses::bind_listener;
use crate::agent::Agent;
use crate::wire::{
    READ_TAG, WAIT_LIMIT, WRITE_TAG, endpoint_list, put_message, put_status, read_message,
    row_messages, target, unix_ms,
};

/// A database server that accepts connections; everything else is up to the test.
pub struct ManualServer {
    /// Its listening address, `IP:port`.
    pub address: String,
    connections: Receiver<TcpStream>,
}

impl ManualServer {
    /// Starts a server on a free loopback port.
    pub fn new() -> ManualServer {
        ManualServer::with_receive_buffer(None)
    }

    /// Like `new`, with the kernel's receive buffer of each connection set to `bytes`, so that a peer whose bytes are not
    /// read has to stop writing soon.
    pub fn with_receive_buffer(bytes: Option<usize>) -> ManualServer {
        let listener = bind_listener();
        bytes.inspect(|bytes| {
            SockRef::from(&listener)
                .set_recv_buffer_size(*bytes)
                .unwrap();
        });
        let address = listener.local_addr().unwrap().to_string();
        let (connection_tx, connection_rx) = mpsc::channel();
        thread::spawn(move || {
            listener
                .incoming()
                .try_for_each(|stream| connection_tx.send(stream.unwrap()))
        });
        ManualServer {
            address,
            connections: connection_rx,
        }
    }

    /// Waits for the next connection that has sent its StartupMessage, and returns it unanswered. A connection that ended
    /// before is skipped.
    pub fn accept(&self) -> ManualConnection {
        loop {
            let mut stream = self
                .connections
                .recv_timeout(WAIT_LIMIT)
                .expect("a connection within the time limit");
            stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            // Nagle's algorithm would hold a write back until the previous one has been acknowledged.
            stream.set_nodelay(true).unwrap();
            let mut startup = [0; 32];
            if stream.read_exact(&mut startup).is_ok() {
                return ManualConnection::new(stream);
            }
        }
    }

    /// Like [`ManualServer::accept`], and answers the startup with ReadyForQuery.
    pub fn accept_ready(&self) -> ManualConnection {
        let mut connection = self.accept();
        connection.try_send_ready();
        connection
    }

    /// Returns whether a connection is made within `span`; it is dropped.
    pub fn connects_within(&self, span: Duration) -> bool {
        self.connections.recv_timeout(span).is_ok()
    }
}

impl Default for ManualServer {
    fn default() -> Self {
        ManualServer::new()
    }
}

/// The server's end of a connection.
pub struct ManualConnection {
    /// The connection, without Nagle's algorithm. Reads time out after [`WAIT_LIMIT`].
    pub stream: TcpStream,
    last_answer: Vec<u8>,
    last_position: u128,
}

impl ManualConnection {
    fn new(stream: TcpStream) -> ManualConnection {
        ManualConnection {
            stream,
            last_answer: Vec::new(),
            last_position: 0,
        }
    }

    /// Sends AuthenticationOk and ReadyForQuery; returns whether the write succeeded.
    pub fn try_send_ready(&mut self) -> bool {
        self.stream
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .is_ok()
    }

    /// Waits for the next statement; `None` where the connection ends first.
    pub fn read_statement(&mut self) -> Option<String> {
        let (_, body) = read_message(&mut self.stream)?;
        Some(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
    }

    /// Waits for the next statement, answers it as [`ManualConnection::respond`] does, and returns it.
    pub fn answer_next(&mut self, value: &str, mode: &str) -> String {
        let statement = self.read_statement().unwrap();
        self.respond(&statement, value, mode);
        statement
    }

    /// Answers `statement` with a row of this value, the role `mode` (`read-write` or `read-only`), the current time as
    /// replication position, and ReadyForQuery. No two answers of a connection have the same position.
    pub fn respond(&mut self, statement: &str, value: &str, mode: &str) {
        let command_tag = if statement.starts_with("INSERT") {
            WRITE_TAG
        } else {
            READ_TAG
        };
        self.last_position = unix_ms().max(self.last_position + 1);
        let mut out = row_messages(value, command_tag);
        put_status(&mut out, mode, self.last_position);
        self.stream.write_all(&out).unwrap();
        self.last_answer = out;
    }

    /// Answers with an error of this SQLSTATE, and role and position as [`ManualConnection::respond`] does.
    pub fn reject(&mut self, sqlstate: &str, mode: &str) {
        self.last_position = unix_ms().max(self.last_position + 1);
        let mut out = Vec::new();
        put_message(
            &mut out,
            b'E',
            format!("SERROR\0C{sqlstate}\0Mno\0\0").as_bytes(),
        );
        put_status(&mut out, mode, self.last_position);
        self.stream.write_all(&out).unwrap();
        self.last_answer = out;
    }

    /// Sends the last answer a second time, to the byte.
    pub fn repeat_answer(&mut self) {
        self.stream.write_all(&self.last_answer).unwrap();
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// A discovery agent that leaves every answer to the test.
pub struct ManualAgent {
    /// Its listening address, `IP:port`.
    pub address: String,
    requests: Receiver<AgentRequest>,
}

/// A request to the agent, and the connection on which to answer it.
pub struct AgentRequest {
    /// `GET ... HTTP/1.1`.
    pub request_line: String,
    stream: TcpStream,
}

impl ManualAgent {
    /// Starts an agent on a free loopback port.
    pub fn new() -> ManualAgent {
        let listener = bind_listener();
        let address = listener.local_addr().unwrap().to_string();
        let (request_tx, request_rx) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (request_tx, stream) = (request_tx.clone(), stream.unwrap());
                thread::spawn(move || {
                    let mut lines = BufReader::new(stream.try_clone().unwrap())
                        .lines()
                        .map_while(Result::ok);
                    while let Some(line) = lines.next() {
                        lines
                            .by_ref()
                            .take_while(|line| !line.is_empty())
                            .for_each(drop);
                        let _ = request_tx.send(AgentRequest {
                            request_line: line,
                            stream: stream.try_clone().unwrap(),
                        });
                    }
                });
            }
        });
        ManualAgent {
            address,
            requests: request_rx,
        }
    }

    /// Returns an [`Agent`] of this address for [`crate::gateway::start`]; both its channels are closed.
    pub fn as_agent(&self) -> Agent {
        Agent {
            address: self.address.clone(),
            responses: mpsc::channel().0,
            requests: mpsc::channel().1,
        }
    }

    /// Waits for the next request on any connection.
    pub fn next_request(&self) -> AgentRequest {
        self.requests
            .recv_timeout(WAIT_LIMIT)
            .expect("a request to the agent")
    }
}

impl Default for ManualAgent {
    fn default() -> Self {
        ManualAgent::new()
    }
}

impl AgentRequest {
    /// Writes a part of the response or all of it.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Writes this byte every millisecond until the peer has closed the connection.
    pub fn send_until_closed(mut self, byte: u8) {
        while self.stream.write_all(&[byte]).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Shuts the connection's write side down, which the peer reads as the end of the response.
    pub fn shut_down_write(self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        // The thread that reads requests holds the same socket, so dropping this handle alone would not close it.
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}

/// Returns a complete endpoint list of these servers, each given as uid, address, state and mode.
pub fn full_endpoint_list(revision: u32, servers: &[(&str, &str, &str, &str)]) -> String {
    let targets: Vec<_> = servers
        .iter()
        .map(|(uid, address, state, mode)| target(uid, address, state, mode))
        .collect();
    endpoint_list(revision, true, &targets)
}
