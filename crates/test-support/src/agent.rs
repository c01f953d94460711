//! A discovery agent that answers each HTTP request with the next response that the test has queued. It makes up no
//! endpoint list of its own.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use crate::addresses::bind_listener;

/// A running discovery agent.
pub struct Agent {
    /// Its listening address, `IP:port`.
    pub address: String,
    /// Queue of complete HTTP responses, one for each request. A request that finds the queue empty waits. A response
    /// that is not `HTTP/1.1 200`, or whose text ends with `cut`, is followed by the end of the connection.
    pub responses: Sender<String>,
    /// Request lines (`GET ... HTTP/1.1`) in order of arrival.
    pub requests: Receiver<String>,
}

/// Starts an agent on a free loopback port. It serves one connection at a time.
pub fn start_agent() -> Agent {
    let listener = bind_listener();
    let address = listener.local_addr().unwrap().to_string();
    let (response_tx, response_rx) = mpsc::channel::<String>();
    let (request_tx, request_rx) = mpsc::channel();
    thread::spawn(move || {
        // A connection that ended before it was accepted is the client's own affair.
        for stream in listener.incoming().filter_map(Result::ok) {
            let mut stream = BufReader::new(stream);
            loop {
                let Ok(Some(request_line)) = read_request(&mut stream) else {
                    break;
                };
                if request_tx.send(request_line).is_err() {
                    return;
                }
                let Ok(response) = response_rx.recv() else {
                    return;
                };
                stream.get_mut().write_all(response.as_bytes()).unwrap();
                if !response.starts_with("HTTP/1.1 200") || response.ends_with("cut") {
                    break;
                }
            }
        }
    });
    Agent {
        address,
        responses: response_tx,
        requests: request_rx,
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
