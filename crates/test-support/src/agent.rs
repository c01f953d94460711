//! A discovery agent that answers each HTTP request with the next response that the test has queued. It makes up no
//! endpoint list of its own.

use std::io::{BufRead, BufReader, Write};
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
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.unwrap());
            loop {
                let mut line = String::new();
                if stream.read_line(&mut line).unwrap_or(0) == 0 {
                    break;
                }
                let request_line = line.trim_end().to_owned();
                while line != "\r\n" {
                    line.clear();
                    stream.read_line(&mut line).unwrap();
                }
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
