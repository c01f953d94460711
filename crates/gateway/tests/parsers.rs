//! The parsers, given messages split at every position and invalid input.

use leverpoint_engine::UNRESERVED_BYTES;
use leverpoint_gateway::discovery::endpoint_list::parse_endpoint_list;
use leverpoint_gateway::io::ring_buffer::RingBuffer;
use leverpoint_gateway::postgres::messages::{self, DecodeResult};
use leverpoint_gateway::postgres::query_comment;

/// Decodes the bytes, received as two pieces split at `at`; returns every message and error.
fn messages(bytes: &[u8], at: usize) -> Vec<DecodeResult> {
    let mut ring = RingBuffer::default();
    let mut out = Vec::new();
    for piece in [&bytes[..at], &bytes[at..]] {
        assert_eq!(ring.push(piece), piece.len());
        loop {
            match messages::decode_message(&mut ring) {
                DecodeResult::Incomplete(_) => break,
                read => out.push(read),
            }
        }
    }
    out
}

#[test]
fn messages_parse_alike_wherever_they_are_split() {
    let mut bytes = Vec::new();
    messages::put_message(&mut bytes, b'Q', &[b"SELECT 1", b"\0"]);
    messages::put_error_response(&mut bytes, false, "53300", "throttled", Some("400"));
    messages::put_ready_for_query(&mut bytes);
    let whole = messages(&bytes, 0);
    for at in 1..bytes.len() {
        assert_eq!(messages(&bytes, at), whole, "split at {at}");
    }
    let mut trace = String::new();
    for read in &whole {
        let DecodeResult::Message(tag, body) = read else {
            panic!("{read:?}")
        };
        trace += &format!(
            "{} {}\n",
            *tag as char,
            String::from_utf8_lossy(body).escape_debug()
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_ring_buffer_keeps_order_across_its_end_and_its_bound() {
    let mut ring = RingBuffer::default();
    let (mut pushed, mut taken) = (0u32, 0u32);
    // Lengths that share no common factor with the ring's size, so that pieces wrap around at every position.
    for step in 0..5000 {
        let piece: Vec<u8> = (0..step % 37).map(|i| ((pushed + i) % 251) as u8).collect();
        pushed += ring.push(&piece) as u32;
        let n = ring.len().min(step as usize % 41);
        for byte in ring.take(n) {
            assert_eq!(byte, (taken % 251) as u8);
            taken += 1;
        }
    }
    assert_eq!(taken + ring.len() as u32, pushed);
    let oversized = vec![7; 2 * UNRESERVED_BYTES];
    let accepted = ring.push(&oversized);
    assert_eq!(
        (ring.len(), ring.push(&oversized)),
        (UNRESERVED_BYTES, 0),
        "{accepted}"
    );
}

#[test]
fn invalid_lengths_are_distinguished_from_long_and_short_ones() {
    let mut trace = String::new();
    let heads: [(&str, &[u8]); 5] = [
        ("no length yet", b"Q\0\0"),
        ("a byte missing", b"Q\0\0\0\x06x"),
        ("length below its own", b"Q\0\0\0\x03"),
        ("length below zero", b"Q\xff\xff\xff\xff"),
        ("huge", b"Q\x40\0\0\0"),
    ];
    for (name, head) in heads {
        let mut ring = RingBuffer::default();
        ring.push(head);
        trace += &format!("{name}: {:?}\n", messages::decode_message(&mut ring));
    }
    for head in [
        &b"\0\0\0\x08\x04\xd2\x16\x2f"[..],
        b"\0\0\0\x07\0\x03\0\0",
        b"\x7f\0\0\0\0\x03\0\0",
    ] {
        let mut ring = RingBuffer::default();
        ring.push(head);
        trace += &format!(
            "startup: {:?}\n",
            messages::decode_startup_packet(&mut ring)
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn only_statements_in_the_protocols_form_are_parsed() {
    let read = "SELECT v FROM records WHERE k = '7f3a' /* id=9b,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";
    let write = "INSERT INTO records (k, v) VALUES ('5c', '\\x9f') RETURNING v /* cluster=3,k=a1,r=1,d=48.5,c=order,id=1 */";
    let mut texts: Vec<String> = [
        "  ",
        ";",
        "set x = 1",
        "DISCARD ALL",
        "SET x = 1; SELECT 1",
        "SELECT 1",
        read,
        write,
    ]
    .map(String::from)
    .into();
    // The same statements with one part changed.
    let changed = [
        ("7f3a", "7f'3a"),
        ("7f3a", ""),
        ("records", "secrets"),
        ("SELECT v", "select v"),
        ("*/", "*/;"),
        ("*/", "*/ "),
        ("/*", "/* x */ /*"),
        ("id=9b,", ""),
        ("id=9b", "id="),
        ("id=9b", "id= "),
        ("id=9b", "id=9b,id=9c"),
        ("id=9b", "id=9b */ /*"),
        ("basket", "ü"),
        ("d=480", "d=soon"),
        ("d=480", "d=-4"),
        ("d=480", "d=NaN"),
        ("d=480", "d=4e8"),
        ("d=480", "d=99999999999999999999999"),
        ("d=480", "d="),
        ("cluster=2", "cluster=x"),
        ("cluster=2", "cluster=+2"),
        ("cluster=2", "cluster=70000"),
        ("cluster=2", "cluster"),
        ("cluster=2", "cluster=2,x=y"),
        ("cluster=2", "cluster=2,r=2"),
    ];
    texts.extend(changed.map(|(from, replacement)| read.replacen(from, replacement, 1)));
    let changed = [
        ("9f", "9"),
        ("9f", "9g"),
        ("\\x9f", "9f"),
        ("RETURNING v ", ""),
        ("'5c', ", "'5c', '5d', "),
    ];
    texts.extend(changed.map(|(from, replacement)| write.replacen(from, replacement, 1)));
    let mut trace = String::new();
    for text in texts {
        trace += &format!("{text}\n    {:?}\n", query_comment::parse_query(&text));
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_truncated_statement_is_refused_or_parsed_but_never_extended() {
    let text = "INSERT INTO records (k, v) VALUES ('5c', '\\x9f') RETURNING v /* id=1,c=order,k=a1,cluster=3,d=480 */";
    assert!(matches!(
        query_comment::parse_query(text),
        Ok(query_comment::Query::Request(_))
    ));
    for at in 0..text.len() {
        let read = query_comment::parse_query(&text[..at]);
        assert!(
            !matches!(read, Ok(query_comment::Query::Request(_))),
            "cut at {at}: {read:?}"
        );
    }
}

#[test]
fn an_indented_endpoint_list_parses_alike_and_a_truncated_one_does_not() {
    let plain = concat!(
        r#"{"rev":41,"all":true,"targets":[{"uid":"s0","endpoint":"127.0.0.1:6432","az":"a","pod_group":3,"#,
        r#""state":"draining","mode":"read-only","capacity_hint":0.5,"boot_ms":7},{"uid":"s1","state":"up"}]}"#
    );
    let value: serde_json::Value = serde_json::from_str(plain).unwrap();
    let indented = serde_json::to_string_pretty(&value)
        .unwrap()
        .replace('\n', "\r\n\t ")
        + "\r\n\r\n";
    let parsed = parse_endpoint_list(plain.as_bytes()).unwrap();
    assert_eq!(
        (parsed.revision, parsed.full, parsed.entries.len()),
        (41, true, 2)
    );
    assert_eq!(parse_endpoint_list(indented.as_bytes()), Some(parsed));
    for cut in 0..plain.len() {
        assert_eq!(
            parse_endpoint_list(&plain.as_bytes()[..cut]),
            None,
            "cut at {cut}"
        );
    }
}
