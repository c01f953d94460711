//! What the transport accepts from a peer that belongs to another fleet, is newer, replays frames, or sends arbitrary
//! bytes.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use leverpoint_membership::Destination;
use leverpoint_peer_transport::admin_client::{AdminRequestError, send_admin_request};
use leverpoint_peer_transport::frame::{
    FrameError, Hello, Message, decode_hello, encode_hello, encode_message, length_codec,
    next_frame,
};
use leverpoint_peer_transport::{
    AdminRequest, AdminResponse, Connections, FleetConfig, TransportCounters,
};
use leverpoint_peer_transport::{Direction, SecureChannel};
use leverpoint_runtime::Listener;
use leverpoint_signing::{Key, Keys};
use proptest::prelude::*;
use tokio::task::LocalSet;

fn keys(number: u8) -> Keys {
    Keys::new(vec![Key {
        number,
        secret: vec![number; 16],
    }])
}

fn fleet(number: u8) -> FleetConfig {
    FleetConfig {
        name: "f".into(),
        keys: keys(number),
        ..FleetConfig::default()
    }
}

fn hello(nonce: u64) -> Hello {
    Hello {
        min_version: 1,
        max_version: 1,
        fleet: "f".into(),
        address: "127.0.0.1:9".into(),
        nonce,
    }
}

fn request() -> Message {
    Message::AdminRequest(AdminRequest::Remove { name: "n1".into() })
}

/// The content of one frame.
fn body(frame: &[u8]) -> BytesMut {
    next_frame(&mut length_codec(), &mut BytesMut::from(frame))
        .unwrap()
        .unwrap()
}

#[test]
fn a_frame_is_valid_once_on_its_own_connection_and_direction() {
    let keys = keys(1);
    let mut sender = SecureChannel::new(5, 6, Direction::FromOpener);
    let frames: Vec<_> = (0..3)
        .map(|_| {
            body(
                &sender
                    .encode(&keys, &encode_message(&request()).unwrap())
                    .unwrap(),
            )
        })
        .collect();
    let mut receiver = SecureChannel::new(5, 6, Direction::FromOpener);
    assert_eq!(receiver.decode(&keys, &frames[0]), Ok(request()));
    assert_eq!(
        receiver.decode(&keys, &frames[0]),
        Err(FrameError::Replayed)
    );
    // A frame that arrives late is dropped.
    assert_eq!(receiver.decode(&keys, &frames[2]), Ok(request()));
    assert_eq!(
        receiver.decode(&keys, &frames[1]),
        Err(FrameError::Replayed)
    );
    for mut other in [
        SecureChannel::new(5, 6, Direction::FromAcceptor),
        SecureChannel::new(5, 7, Direction::FromOpener),
        SecureChannel::new(6, 5, Direction::FromOpener),
    ] {
        assert!(matches!(
            other.decode(&keys, &frames[0]),
            Err(FrameError::Signature(_))
        ));
    }
    assert!(matches!(
        SecureChannel::new(5, 6, Direction::FromOpener).decode(&self::keys(2), &frames[0]),
        Err(FrameError::Signature(_))
    ));
    // A repeated greeting.
    let greeting = body(&encode_hello(&keys, &hello(5)).unwrap());
    assert_eq!(receiver.decode(&keys, &greeting), Err(FrameError::Replayed));
}

#[test]
fn a_newer_peer_is_compatible_and_its_additions_are_ignored() {
    let keys = keys(1);
    let decode =
        |hello: &Hello| decode_hello(&keys, &body(&encode_hello(&keys, hello).unwrap()), "f");
    let newer = Hello {
        max_version: 9,
        ..hello(5)
    };
    assert_eq!(decode(&newer), Ok(newer.clone()));
    assert_eq!(
        decode(&Hello {
            min_version: 2,
            max_version: 9,
            ..hello(5)
        }),
        Err(FrameError::Incompatible)
    );
    assert_eq!(
        decode(&Hello {
            fleet: "g".into(),
            ..hello(5)
        }),
        Err(FrameError::Incompatible)
    );
    let mut sender = SecureChannel::new(5, 6, Direction::FromOpener);
    let mut extended = encode_message(&request()).unwrap();
    extended.extend(b"a field that is not known yet");
    let (extended, unknown_kind) = (
        sender.encode(&keys, &extended).unwrap(),
        sender.encode(&keys, &[200, 1, 2, 3]).unwrap(),
    );
    let mut receiver = SecureChannel::new(5, 6, Direction::FromOpener);
    assert_eq!(receiver.decode(&keys, &body(&extended)), Ok(request()));
    assert_eq!(
        receiver.decode(&keys, &body(&unknown_kind)),
        Err(FrameError::UnknownKind)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a frame contains, signed or not, it decodes to a message or an error.
    #[test]
    fn arbitrary_bytes_decode_or_fail_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), signed in any::<bool>()) {
        let keys = keys(1);
        let frame = if signed {
            body(&SecureChannel::new(5, 6, Direction::FromOpener).encode(&keys, &bytes).unwrap())
        } else {
            BytesMut::from(&bytes[..])
        };
        let result = SecureChannel::new(5, 6, Direction::FromOpener).decode(&keys, &frame);
        prop_assert!(signed || result.is_err());
        let _ = decode_hello(&keys, &frame, "f");
    }

    /// A frame with one changed byte is invalid.
    #[test]
    fn a_flipped_byte_fails_verification(offset in 0usize..64, flip in 1u8..) {
        let keys = keys(1);
        let mut frame = body(&SecureChannel::new(5, 6, Direction::FromOpener).encode(&keys, &encode_message(&request()).unwrap()).unwrap());
        let offset = offset % frame.len();
        frame[offset] ^= flip;
        prop_assert!(SecureChannel::new(5, 6, Direction::FromOpener).decode(&keys, &frame).is_err());
    }

    /// However the bytes are fragmented, the same frames come out, and a length beyond the maximum is an error.
    #[test]
    fn frames_are_reassembled_from_any_fragments(fragment_lengths in proptest::collection::vec(1usize..40, 1..12)) {
        let keys = keys(1);
        let mut sender = SecureChannel::new(5, 6, Direction::FromOpener);
        let all: Vec<u8> =
            (0..3).flat_map(|_| sender.encode(&keys, &encode_message(&request()).unwrap()).unwrap().to_vec()).collect();
        let (mut length_codec, mut received, mut receiver, mut offset) = (length_codec(), BytesMut::new(), SecureChannel::new(5, 6, Direction::FromOpener), 0);
        let mut frames = 0;
        let mut fragment_lengths = fragment_lengths.into_iter().cycle();
        while offset < all.len() {
            let end = (offset + fragment_lengths.next().unwrap()).min(all.len());
            received.extend_from_slice(&all[offset..end]);
            offset = end;
            while let Some(frame) = next_frame(&mut length_codec, &mut received).unwrap() {
                prop_assert_eq!(receiver.decode(&keys, &frame), Ok(request()));
                frames += 1;
            }
        }
        prop_assert_eq!(frames, 3);
        received.extend_from_slice(&[0x7f; 4]);
        prop_assert_eq!(next_frame(&mut length_codec, &mut received), Err(FrameError::Malformed));
    }
}

/// Runs `scenario` against a server that answers each request with `Done`, and returns the server's counters.
fn run_server(scenario: impl FnOnce(SocketAddr) + Send + 'static) -> TransportCounters {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut nonce = 100;
        let nonces = Box::new(move || {
            nonce += 1;
            nonce
        });
        let connections = Connections::new(address.to_string(), fleet(1), 4, nonces);
        connections.set_message_handler(Box::new(|connection, _| {
            connection.send(&Message::AdminResponse(AdminResponse::Done));
        }));
        leverpoint_runtime::spawn(connections.clone().accept(Listener::Tcp(listener)));
        tokio::task::spawn_blocking(move || scenario(address))
            .await
            .unwrap();
        // Connections that the scenario has closed end before the counters are read.
        while !connections.is_empty() {
            leverpoint_runtime::sleep(Duration::from_millis(1)).await;
        }
        connections.counters()
    })
}

/// Reads one frame with its length.
fn read_frame(stream: &mut TcpStream) {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    stream
        .read_exact(&mut vec![0; u32::from_be_bytes(length) as usize])
        .unwrap();
}

/// Reads until the connection is closed.
fn read_to_end(mut stream: TcpStream) -> usize {
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    all.len()
}

#[test]
fn invalid_frames_close_their_connection_and_are_counted() {
    let counters = run_server(|address| {
        let send = |bytes: &[u8]| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(bytes).unwrap();
            stream
        };
        assert_eq!(read_to_end(send(&[0xff; 64])), 0);
        assert_eq!(read_to_end(send(b"\0\0\0\x05hello")), 0);
        assert_eq!(
            read_to_end(send(&encode_hello(&keys(2), &hello(1)).unwrap())),
            0
        );
        assert_eq!(
            read_to_end(send(
                &encode_hello(
                    &keys(1),
                    &Hello {
                        fleet: "g".into(),
                        ..hello(1)
                    }
                )
                .unwrap()
            )),
            0
        );
        // An incomplete greeting and nothing after it: the handshake times out.
        assert_eq!(
            read_to_end(send(&encode_hello(&keys(1), &hello(1)).unwrap()[..20])),
            0
        );
        // A valid greeting, then a frame that is signed for another connection.
        let mut stream = send(&encode_hello(&keys(1), &hello(1)).unwrap());
        read_frame(&mut stream);
        stream
            .write_all(
                &SecureChannel::new(8, 9, Direction::FromOpener)
                    .encode(&keys(1), b"\x02\0")
                    .unwrap(),
            )
            .unwrap();
        assert_eq!(read_to_end(stream), 0);
    });
    assert_eq!(
        (
            counters.malformed,
            counters.incompatible,
            counters.signature_errors
        ),
        (1, 1, 3)
    );
    assert_eq!((counters.accepted, counters.received), (6, 0));
}

#[test]
fn a_request_is_answered_and_a_stuck_peer_delays_no_other() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Connections::new(address.to_string(), fleet(1), 4, Box::new(|| 7));
        server.set_message_handler(Box::new(|connection, _| {
            connection.send(&Message::AdminResponse(AdminResponse::Done));
        }));
        leverpoint_runtime::spawn(server.clone().accept(Listener::Tcp(listener)));
        let client = Connections::new("127.0.0.1:9".into(), fleet(1), 4, Box::new(|| 8));
        let received = Rc::new(RefCell::new(Vec::new()));
        let (arrived, slot) = (Rc::new(tokio::sync::Notify::new()), received.clone());
        let notify = arrived.clone();
        client.set_message_handler(Box::new(move |_, message| {
            slot.borrow_mut().push(message);
            notify.notify_one();
        }));
        // The queue for the peer that never sends a greeting is bounded, and the message to the other peer is sent
        // meanwhile.
        let silent_peer = Destination {
            name: None,
            address: silent_listener.local_addr().unwrap().to_string(),
        };
        for _ in 0..1_000 {
            client.send(&silent_peer, &request());
        }
        client.send(
            &Destination {
                name: Some("n1".into()),
                address: address.to_string(),
            },
            &request(),
        );
        arrived.notified().await;
        assert_eq!(
            *received.borrow(),
            [Message::AdminResponse(AdminResponse::Done)]
        );
        assert_eq!(client.counters().dropped, 1_000 - 128);
        // The response used the connection of the request.
        assert_eq!(
            (server.counters().opened, server.len(), client.len()),
            (0, 1, 2)
        );
    });
}

fn bootstrap(
    address: SocketAddr,
) -> impl Future<Output = Result<AdminResponse, AdminRequestError>> {
    send_admin_request(address, fleet(1), AdminRequest::Bootstrap, Box::new(|| 8))
}

/// Guards against an operator's command that fails because the member stood still while the first connection was opened.
#[test]
fn an_admin_request_is_sent_again_after_a_connection_that_ended_before_it_was_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let response = tokio::task::spawn_local(bootstrap(address));
        drop(listener.accept().await.unwrap());
        let server = Connections::new(address.to_string(), fleet(1), 4, Box::new(|| 7));
        server.set_message_handler(Box::new(|connection, _| {
            connection.send(&Message::AdminResponse(AdminResponse::Done));
        }));
        leverpoint_runtime::spawn(server.clone().accept(Listener::Tcp(listener)));
        assert_eq!(response.await.unwrap(), Ok(AdminResponse::Done));
        assert_eq!(server.counters().received, 1);
    });
}

/// Sends an admin request to a peer whose first connection is served by `serve`. Returns the result, and whether another
/// connection came.
fn request_from(
    serve: impl FnOnce(TcpStream) + Send + 'static,
) -> (Result<AdminResponse, AdminRequestError>, bool) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = listener.try_clone().unwrap();
    let served = std::thread::spawn(move || serve(accepting.accept().unwrap().0));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let response = LocalSet::new().block_on(&runtime, bootstrap(address));
    served.join().unwrap();
    listener.set_nonblocking(true).unwrap();
    (response, listener.accept().is_ok())
}

/// Guards against a change that is requested twice, and an operator who takes it for not made.
#[test]
fn an_admin_request_that_was_sent_is_not_sent_again_and_may_have_been_carried_out() {
    let outcome = request_from(|mut stream| {
        read_frame(&mut stream);
        let greeting = encode_hello(&keys(1), &hello(1)).unwrap();
        stream.write_all(&greeting).unwrap();
        read_frame(&mut stream);
    });
    assert_eq!(outcome, (Err(AdminRequestError::Unanswered), false));
}

#[test]
fn an_admin_request_to_another_fleet_is_given_up_unsent() {
    let outcome = request_from(|mut stream| {
        read_frame(&mut stream);
        let greeting = encode_hello(&keys(2), &hello(1)).unwrap();
        stream.write_all(&greeting).unwrap();
        assert_eq!(read_to_end(stream), 0);
    });
    assert_eq!(outcome, (Err(AdminRequestError::OtherFleet), false));
}
