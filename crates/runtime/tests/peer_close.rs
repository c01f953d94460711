//! What a connection knows of its peer's close before the runtime has polled its sockets again.

use std::io::Write;
use std::net::{Shutdown, TcpStream};

use leverpoint_runtime::{Listener, Stream};
use leverpoint_test_support::tcp_table::{TcpSocket, wait_for_socket};
use tokio::net::TcpListener;

/// Runs `test` with both ends of a connection, the accepted one first, on a current-thread runtime.
fn with_connection(test: impl FnOnce(Stream, TcpStream)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Listener::Tcp(listener).accept().await.unwrap();
        test(stream, peer);
    });
}

/// Guards against an attempt on behalf of a client whose close the kernel holds, but not the runtime: the runtime polls
/// no socket while a task runs.
#[test]
fn a_close_is_seen_before_the_runtime_is_notified_of_it() {
    with_connection(|stream, mut peer| {
        peer.write_all(b"unread").unwrap();
        assert!(!stream.peer_closed());
        let Stream::Tcp(accepted) = &stream else {
            panic!("not a TCP connection");
        };
        let (local, remote) = (accepted.local_addr().unwrap(), peer.local_addr().unwrap());
        drop(peer);
        wait_for_socket(local, remote, |socket| {
            socket.is_closed_by_peer() && socket.has_unread_bytes()
        });
        assert!(stream.peer_closed());
        assert!(stream.downgrade().peer_closed());
    });
}

#[test]
fn a_shutdown_of_the_peers_writing_counts_as_a_close_and_unread_bytes_do_not() {
    with_connection(|stream, mut peer| {
        let Stream::Tcp(accepted) = &stream else {
            panic!("not a TCP connection");
        };
        let (local, remote) = (accepted.local_addr().unwrap(), peer.local_addr().unwrap());
        peer.write_all(b"unread").unwrap();
        wait_for_socket(local, remote, TcpSocket::has_unread_bytes);
        assert!(!stream.peer_closed());
        peer.shutdown(Shutdown::Write).unwrap();
        wait_for_socket(local, remote, TcpSocket::is_closed_by_peer);
        assert!(stream.peer_closed());
    });
}
