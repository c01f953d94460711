//! A discovery agent that answers each HTTP request with the next response that the test has queued. It makes up no
//! endpoint list of its own.

use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use crate::addresses::bind_listener;

/// A running discovery agent.
pub struct Agent {
    /// Its listening address, `IP:port`.
    pub address: String,
    /// Queue of complete HTTP responses, one for each request. A request that finds the queue empty waits. A response
    /// that is not `HTTP/1.1 200`, or whose text ends with `cut`, is followed by the end of the connection.
    ///
    /// A response is not lost with a request that its client has given up: it goes to the next request.
    pub responses: Sender<String>,
    /// Request lines (`GET ... HTTP/1.1`) in order of arrival, one for each response: a request that comes in place of one
    /// that was given up unanswered is not reported.
    pub requests: Receiver<String>,
}

/// Starts an agent on a free loopback port. It serves one connection at a time.
pub fn start_agent() -> Agent {
    let listener = bind_listener();
    let address = listener.local_addr().unwrap().to_string();
    let (response_tx, responses) = mpsc::channel();
    let (requests, request_rx) = mpsc::channel();
    let server = AgentServer {
        responses,
        requests,
        undelivered: None,
        unanswered_request: false,
    };
    thread::spawn(move || server.run(&listener));
    Agent {
        address,
        responses: response_tx,
        requests: request_rx,
    }
}

/// The test has dropped its [`Agent`].
struct AgentDropped;

/// The agent's side of the connections.
struct AgentServer {
    responses: Receiver<String>,
    requests: Sender<String>,
    /// A response that no client has received, for the next request.
    undelivered: Option<String>,
    /// Whether a request was reported to the test for which no response was delivered yet.
    unanswered_request: bool,
}

impl AgentServer {
    fn run(mut self, listener: &TcpListener) {
        // A connection that ended before it was accepted is the client's own affair.
        for stream in listener.incoming().filter_map(Result::ok) {
            if self.serve(stream).is_err() {
                return;
            }
        }
    }

    /// Serves a connection to its end.
    fn serve(&mut self, stream: TcpStream) -> Result<(), AgentDropped> {
        let mut stream = BufReader::new(stream);
        let mut last_response = None;
        loop {
            let request_line = match read_request(&mut stream) {
                Ok(Some(request_line)) => request_line,
                Ok(None) => return Ok(()),
                Err(error) => {
                    // A reset means that the client closed the connection before it read the response.
                    if error.kind() == ErrorKind::ConnectionReset && last_response.is_some() {
                        self.undelivered = last_response;
                        self.unanswered_request = true;
                    }
                    return Ok(());
                }
            };
            self.report(request_line)?;
            let response = self.next_response()?;
            if is_closed(stream.get_ref()) || write(&mut stream, &response).is_err() {
                self.undelivered = Some(response);
                return Ok(());
            }
            self.unanswered_request = false;
            if !response.starts_with("HTTP/1.1 200") || response.ends_with("cut") {
                return Ok(());
            }
            last_response = Some(response);
        }
    }

    /// Reports a request to the test, unless it comes in place of one that was reported and given up.
    fn report(&mut self, request_line: String) -> Result<(), AgentDropped> {
        if self.unanswered_request {
            return Ok(());
        }
        self.unanswered_request = true;
        self.requests.send(request_line).map_err(|_| AgentDropped)
    }

    /// Waits for the response to the current request.
    fn next_response(&mut self) -> Result<String, AgentDropped> {
        match self.undelivered.take() {
            Some(response) => Ok(response),
            None => self.responses.recv().map_err(|_| AgentDropped),
        }
    }
}

/// Reads a request and returns its request line; `None` where the connection ends before the end of the headers.
fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut request_line = String::new();
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if request_line.is_empty() {
            line.trim_end().clone_into(&mut request_line);
        }
    }
    Ok(Some(request_line))
}

/// Returns whether the client has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let is_open = match peeked {
        Ok(received) => received > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || !is_open
}

fn write(stream: &mut BufReader<TcpStream>, response: &str) -> io::Result<()> {
    stream.get_mut().write_all(response.as_bytes())
}
