//! HTTP/1.1 requests to discovery, on a connection that is reused if discovery keeps it open.
//!
//! A request has no timeout: the caller cancels it by dropping its future.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

use leverpoint_runtime::{Instant, now};

use crate::io::connection::BufferedConnection;

/// Longest body in bytes; a list of ten thousand servers is shorter.
const MAX_BODY: usize = 4 << 20;
/// Most bytes allocated at once for a body that has not been received yet.
const BODY_RESERVE: usize = 256 << 10;

/// Why a poll of discovery has failed.
#[derive(Debug)]
pub(super) enum PollError {
    /// No connection could be opened.
    Unreachable(io::Error),
    /// Discovery rejects requests for now, with status 429 or 503; holds the status line.
    Refused(String),
    /// Any other status than 200; holds the status line. A proxy that doesn't reach discovery may have sent it.
    UnexpectedStatus(String),
    /// The connection failed before the response was complete, or the response is invalid.
    Io(io::Error),
    /// The body is not a list, or the list does not answer the request.
    InvalidList,
    /// The response was not complete in time.
    TimedOut,
}

impl Display for PollError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            PollError::Unreachable(e) => write!(f, "no connection: {e}"),
            PollError::Refused(status) | PollError::UnexpectedStatus(status) => {
                write!(f, "answered {status:.40}")
            }
            PollError::Io(e) => write!(f, "{e}"),
            PollError::InvalidList => f.write_str("not a list"),
            PollError::TimedOut => f.write_str("timed out"),
        }
    }
}

/// When bytes of a response were last received; shared between the request and its caller.
pub(super) type LastReceived = Rc<Cell<Option<Instant>>>;

/// A complete response with status 200.
pub(super) struct Response {
    /// The body without its framing.
    pub body: Vec<u8>,
    /// The connection, if discovery keeps it open for further requests.
    pub idle_connection: Option<BufferedConnection>,
}

fn invalid_data() -> io::Error {
    ErrorKind::InvalidData.into()
}

/// Sends a GET request for a path, on `idle_connection` of an earlier response if there is one.
///
/// `last_received` is set as bytes of the response are received.
///
/// # Errors
///
/// No complete response with status 200 was received.
pub(super) async fn get(
    address: SocketAddr,
    idle_connection: Option<BufferedConnection>,
    path: String,
    last_received: LastReceived,
) -> Result<Response, PollError> {
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    // Discovery may have closed the idle connection: the request is then repeated on a new one.
    if let Some(mut connection) = idle_connection
        && connection
            .write(&[request.as_bytes()], &Cell::new(0))
            .await
            .is_ok()
    {
        match read_response(connection, &last_received).await {
            Err(PollError::Io(e)) if closed_before_response(&e, &last_received) => {}
            response => return response,
        }
    }
    let mut connection = BufferedConnection::connect(address, None)
        .await
        .map_err(PollError::Unreachable)?;
    connection
        .write(&[request.as_bytes()], &Cell::new(0))
        .await
        .map_err(PollError::Io)?;
    read_response(connection, &last_received).await
}

/// Whether the connection was closed before any byte of the response was received.
fn closed_before_response(error: &io::Error, last_received: &LastReceived) -> bool {
    last_received.get().is_none()
        && matches!(
            error.kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
        )
}

/// How the end of a body is marked.
enum Framing {
    /// By a chunk of length 0.
    Chunked,
    /// By its length in bytes, from the header.
    Length(usize),
    /// By the close of the connection.
    Close,
}

/// What the head of a response says of its body.
struct ResponseHead {
    framing: Framing,
    /// Whether discovery closes the connection after the response.
    closes_connection: bool,
}

/// Parses the head of a response, in lower case.
fn parse_head(text: &str) -> Result<ResponseHead, PollError> {
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or_default();
    match status.split(' ').nth(1) {
        Some("200") if status.starts_with("http/1.") => {}
        Some("429" | "503") => return Err(PollError::Refused(status.to_owned())),
        _ => return Err(PollError::UnexpectedStatus(status.to_owned())),
    }
    let field = |name: &str| {
        let mut fields = text.split("\r\n").filter_map(|line| line.split_once(':'));
        fields
            .find(|(n, _)| n.trim() == name)
            .map(|(_, value)| value.trim())
    };
    let framing = match field("content-length") {
        _ if field("transfer-encoding").is_some_and(|v| v.ends_with("chunked")) => Framing::Chunked,
        Some(length) => Framing::Length(length.parse().map_err(|_| PollError::Io(invalid_data()))?),
        None => Framing::Close,
    };
    let closes_connection = matches!(framing, Framing::Close)
        || field("connection") == Some("close")
        || status.starts_with("http/1.0");
    Ok(ResponseHead {
        framing,
        closes_connection,
    })
}

/// Reads a complete response.
async fn read_response(
    mut connection: BufferedConnection,
    last_received: &LastReceived,
) -> Result<Response, PollError> {
    let head = read_until(&mut connection, b"\r\n\r\n")
        .await
        .map_err(PollError::Io)?
        .to_ascii_lowercase();
    last_received.set(Some(now()));
    let head = parse_head(&head)?;
    let body = match head.framing {
        Framing::Chunked => read_chunks(&mut connection, last_received).await,
        Framing::Length(length) => {
            let mut body = Vec::new();
            read_bytes(&mut connection, &mut body, length, last_received)
                .await
                .map(|()| body)
        }
        Framing::Close => read_until_close(&mut connection, last_received).await,
    };
    let body = body.map_err(PollError::Io)?;
    Ok(Response {
        body,
        idle_connection: (!head.closes_connection).then_some(connection),
    })
}

/// Reads a chunked body; trailers are not supported.
async fn read_chunks(
    connection: &mut BufferedConnection,
    last_received: &LastReceived,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_until(connection, b"\r\n").await?;
        let digits = line.trim_end().split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(digits, 16).map_err(|_| invalid_data())?;
        read_bytes(connection, &mut body, size, last_received).await?;
        let mut end = Vec::new();
        read_bytes(connection, &mut end, 2, last_received).await?;
        if end != b"\r\n" {
            return Err(invalid_data());
        }
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads a body that ends with the connection.
async fn read_until_close(
    connection: &mut BufferedConnection,
    last_received: &LastReceived,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let available = connection.input.len();
        read_bytes(connection, &mut body, available, last_received).await?;
        match connection.read().await {
            Ok(_) => last_received.set(Some(now())),
            // Only a regular close ends the body; a reset is an error.
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(body),
            Err(e) => return Err(e),
        }
    }
}

/// Reads up to and including the first occurrence of `end`.
async fn read_until<const N: usize>(
    connection: &mut BufferedConnection,
    end: &[u8; N],
) -> io::Result<String> {
    loop {
        if let Some(at) =
            (0..connection.input.len()).find(|&at| connection.input.peek::<N>(at) == Some(*end))
        {
            return String::from_utf8(connection.input.take(at + N)).map_err(|_| invalid_data());
        }
        if connection.input.space() == 0 {
            return Err(invalid_data());
        }
        connection.read().await?;
    }
}

/// Appends the next `length` bytes to `body`.
///
/// # Errors
///
/// The connection failed, or the body would be longer than [`MAX_BODY`].
async fn read_bytes(
    connection: &mut BufferedConnection,
    body: &mut Vec<u8>,
    length: usize,
    last_received: &LastReceived,
) -> io::Result<()> {
    if length > MAX_BODY.saturating_sub(body.len()) {
        return Err(invalid_data());
    }
    let total = body.len() + length;
    body.reserve(length.min(BODY_RESERVE));
    loop {
        let available = connection.input.len().min(total - body.len());
        body.append(&mut connection.input.take(available));
        if body.len() == total {
            return Ok(());
        }
        connection.read().await?;
        last_received.set(Some(now()));
    }
}
