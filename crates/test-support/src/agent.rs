//! Owns discovery's agent: it answers each ask with the next thing that it is told to say.
//!
//! It must never make up a list.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// An agent that answers each ask with the next thing it is told to; the asks can be read.
pub struct Agent {
    pub address: String,
    pub responses: Sender<String>,
    pub requests: Receiver<String>,
}

pub fn start_agent() -> Agent {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (say, words) = mpsc::channel::<String>();
    let (tell, asked) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.unwrap());
            loop {
                let mut line = String::new();
                if stream.read_line(&mut line).unwrap_or(0) == 0 {
                    break;
                }
                let asked = line.trim_end().to_owned();
                while line != "\r\n" {
                    line.clear();
                    stream.read_line(&mut line).unwrap();
                }
                if tell.send(asked).is_err() {
                    return;
                }
                let Ok(word) = words.recv() else { return };
                stream.get_mut().write_all(word.as_bytes()).unwrap();
                if !word.starts_with("HTTP/1.1 200") || word.ends_with("cut") {
                    break;
                }
            }
        }
    });
    Agent {
        address,
        responses: say,
        requests: asked,
    }
}
