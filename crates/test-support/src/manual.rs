//! Owns stand-ins that do nothing by themselves: a server and an agent whose each byte the test gives.
//!
//! They must never answer, end or time anything of their own accord.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::agent::Agent;
use crate::wire::{
    READ_TAG, WAIT_LIMIT, WRITE_TAG, endpoint_list, put_message, read_message, row_messages,
    target, unix_ms,
};

/// A server that accepts connections and leaves all else to the test.
pub struct ManualServer {
    pub address: String,
    comes: Receiver<TcpStream>,
}

impl ManualServer {
    pub fn new() -> ManualServer {
        ManualServer::with_receive_buffer(None)
    }

    /// One whose connections keep so many bytes unread at most.
    pub fn with_receive_buffer(bytes: Option<usize>) -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        bytes.inspect(|bytes| {
            SockRef::from(&listener)
                .set_recv_buffer_size(*bytes)
                .unwrap();
        });
        let address = listener.local_addr().unwrap().to_string();
        let (tell, comes) = mpsc::channel();
        thread::spawn(move || {
            listener
                .incoming()
                .try_for_each(|stream| tell.send(stream.unwrap()))
        });
        ManualServer { address, comes }
    }

    /// The next connection that has said that it comes and was told nothing yet; one that ended before is passed over.
    pub fn accept(&self) -> ManualConnection {
        loop {
            let mut stream = self.comes.recv_timeout(WAIT_LIMIT).expect("a connection");
            stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            // Else the system would hold back what is written before the last has been acknowledged.
            stream.set_nodelay(true).unwrap();
            let mut hello = [0; 32];
            if stream.read_exact(&mut hello).is_ok() {
                return ManualConnection { stream };
            }
        }
    }

    /// The next connection, up.
    pub fn accept_ready(&self) -> ManualConnection {
        let mut talk = self.accept();
        talk.try_send_ready();
        talk
    }

    /// Whether one comes within that time.
    pub fn connects_within(&self, span: Duration) -> bool {
        self.comes.recv_timeout(span).is_ok()
    }
}

impl Default for ManualServer {
    fn default() -> Self {
        ManualServer::new()
    }
}

/// A server's end of a connection.
pub struct ManualConnection {
    pub stream: TcpStream,
}

impl ManualConnection {
    /// Whether it could still be told that it is up.
    pub fn try_send_ready(&mut self) -> bool {
        self.stream
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .is_ok()
    }

    /// The next statement; none where the connection ends first.
    pub fn read_statement(&mut self) -> Option<String> {
        let (_, body) = read_message(&mut self.stream)?;
        Some(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned())
    }

    /// Answers the next statement, which it returns.
    pub fn answer_next(&mut self, value: &str, mode: &str) -> String {
        let statement = self.read_statement().unwrap();
        self.respond(&statement, value, mode);
        statement
    }

    pub fn respond(&mut self, statement: &str, value: &str, mode: &str) {
        let done = if statement.starts_with("INSERT") {
            WRITE_TAG
        } else {
            READ_TAG
        };
        let mut out = row_messages(value, done);
        put_message(&mut out, b'S', format!("mode\0{mode}\0").as_bytes());
        put_message(
            &mut out,
            b'S',
            format!("wal_time\0{}\0", unix_ms()).as_bytes(),
        );
        put_message(&mut out, b'Z', b"I");
        self.stream.write_all(&out).unwrap();
    }

    /// Ends without waiting for anything: the other side is reset.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// An agent that answers nothing by itself.
pub struct ManualAgent {
    pub address: String,
    asks: Receiver<AgentRequest>,
}

/// One ask, and where its answer goes.
pub struct AgentRequest {
    pub request_line: String,
    stream: TcpStream,
}

impl ManualAgent {
    pub fn new() -> ManualAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (tell, asks) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (tell, stream) = (tell.clone(), stream.unwrap());
                thread::spawn(move || {
                    let mut lines = BufReader::new(stream.try_clone().unwrap())
                        .lines()
                        .map_while(Result::ok);
                    while let Some(line) = lines.next() {
                        lines
                            .by_ref()
                            .take_while(|line| !line.is_empty())
                            .for_each(drop);
                        let _ = tell.send(AgentRequest {
                            request_line: line,
                            stream: stream.try_clone().unwrap(),
                        });
                    }
                });
            }
        });
        ManualAgent { address, asks }
    }

    /// As a gateway's own agent, which says nothing and tells of no ask.
    pub fn as_agent(&self) -> Agent {
        Agent {
            address: self.address.clone(),
            responses: mpsc::channel().0,
            requests: mpsc::channel().1,
        }
    }

    pub fn next_request(&self) -> AgentRequest {
        self.asks.recv_timeout(WAIT_LIMIT).expect("an ask")
    }
}

impl Default for ManualAgent {
    fn default() -> Self {
        ManualAgent::new()
    }
}

impl AgentRequest {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Says this byte again and again, until the other side has closed.
    pub fn send_until_closed(mut self, byte: u8) {
        while self.stream.write_all(&[byte]).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Says that nothing more comes.
    pub fn shut_down_write(self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    pub fn reset(self) {
        // The connection's reader has the same socket, so closing this handle alone would tell nobody.
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}

/// A list of these servers: name, address, state, mode.
pub fn full_endpoint_list(revision: u32, servers: &[(&str, &str, &str, &str)]) -> String {
    let targets: Vec<_> = servers
        .iter()
        .map(|(uid, address, state, mode)| target(uid, address, state, mode))
        .collect();
    endpoint_list(revision, true, &targets)
}
