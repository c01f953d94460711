//! A relay in front of a server, through which some connections come up late.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Starts a relay to `to` and returns its address. `delay` is asked for each connection, by its number.
pub fn start(to: String, delay: Arc<dyn Fn(u64) -> Duration + Send + Sync>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|e| crate::cannot_run(&format!("no address: {e}")));
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for (number, from) in listener.incoming().flatten().enumerate() {
            let (to, late) = (to.clone(), delay(number as u64));
            thread::spawn(move || {
                thread::sleep(late);
                let Ok(server) = TcpStream::connect(to) else {
                    return;
                };
                let _ = (from.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_reader), Ok(server_reader)) = (from.try_clone(), server.try_clone())
                else {
                    return;
                };
                thread::spawn(move || pump(from_reader, server));
                pump(server_reader, from);
            });
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(n) if n > 0 && to.write_all(&buffer[..n]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
