//! Yielding on tokio's runtime.

use std::cell::Cell;
use std::io::{IoSliceMut, Write};
use std::net::TcpStream;
use std::rc::Rc;

use leverpoint_runtime::{Stream, yield_now};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const BUSY_TASKS: u32 = 6;
/// Yields of all busy tasks after which a reader must have been polled: three for each.
const MAX_YIELDS: u32 = 3 * BUSY_TASKS;
/// Yields after which the test gives up.
const YIELD_LIMIT: u32 = 1_000_000;

/// Starts a task that yields until `stop` is set, and counts its yields. Its first act is to write to the `peer`.
fn spawn_busy_task(
    stop: Rc<Cell<bool>>,
    yields: Rc<Cell<u32>>,
    mut peer: Option<TcpStream>,
) -> JoinHandle<()> {
    spawn_local(async move {
        if let Some(peer) = &mut peer {
            peer.write_all(b"x").unwrap();
        }
        while !stop.get() && yields.get() < YIELD_LIMIT {
            yields.set(yields.get() + 1);
            yield_now().await;
        }
    })
}

/// Starts a task that sets the returned flag once it has read from the connection.
fn spawn_reader(stream: Stream) -> Rc<Cell<bool>> {
    let has_read = Rc::new(Cell::new(false));
    let seen = has_read.clone();
    spawn_local(async move {
        let mut byte = [0];
        while stream.try_read(&mut [IoSliceMut::new(&mut byte)]).is_err() {
            stream.readable().await.unwrap();
        }
        seen.set(true);
    });
    has_read
}

#[test]
fn a_yield_lets_the_runtime_poll_its_sockets() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let yields = LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = Some(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
        let has_read = spawn_reader(Stream::from_tcp(listener.accept().await.unwrap().0));
        let yields = Rc::new(Cell::new(0));
        let busy_tasks: Vec<_> = (0..BUSY_TASKS)
            .map(|_| spawn_busy_task(has_read.clone(), yields.clone(), peer.take()))
            .collect();
        for finished in busy_tasks {
            finished.await.unwrap();
        }
        yields.get()
    });
    assert!(yields <= MAX_YIELDS, "{yields} yields");
}
