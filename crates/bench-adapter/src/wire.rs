//! The binary protocol between the bench and the adapter: batches of events in, one reply of actions for each batch
//! out.
//!
//! All numbers are little-endian. A record begins with its code, a `u16`. An incoming batch has a header of 16 bytes:
//! its number, the length of what follows the length field, and the clock. A reply has a header of 12 bytes: the
//! batch's number, the number of records, and their length in bytes.

use std::fmt;
use std::io::{self, Read, Write};

/// Why the adapter stops, in one line: invalid input, a failed read or write, or a panic of the decision module.
#[derive(Debug)]
pub(crate) struct AdapterError(String);

impl AdapterError {
    pub(crate) fn new(text: impl Into<String>) -> Self {
        AdapterError(text.into())
    }

    /// Adds the number of the batch and the offset of the event in it.
    pub(crate) fn with_location(self, batch: u32, offset: usize) -> Self {
        AdapterError(format!("batch {batch}, byte {offset}: {}", self.0))
    }
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for AdapterError {
    fn from(e: io::Error) -> Self {
        AdapterError(format!("input or output failed: {e}"))
    }
}

/// The longest batch that is accepted, in bytes; a greater length is taken to be corrupt.
const MAX_BATCH_BYTES: u32 = 1 << 30;

/// One batch of events; the buffer of its records is reused for the next batch.
#[derive(Default)]
pub(crate) struct Batch {
    pub number: u32,
    /// Time of all events of the batch, in milliseconds on the bench's clock.
    pub now_ms: f64,
    body: Vec<u8>,
}

impl Batch {
    /// Reads the next batch into `self`; `false` at the end of the input.
    pub(crate) fn read(&mut self, input: &mut impl Read) -> Result<bool, AdapterError> {
        let mut header = [0; 16];
        let mut received = 0;
        while received < header.len() {
            match input.read(&mut header[received..]) {
                Ok(0) if received == 0 => return Ok(false),
                Ok(0) => {
                    return Err(AdapterError(format!(
                        "batch header cut short after {received} of 16 bytes"
                    )));
                }
                Ok(n) => received += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        let mut fields = Cursor::new(&header);
        self.number = fields.u32()?;
        let length = fields.u32()?;
        self.now_ms = fields.f64()?;
        let number = self.number;
        if !(8..=MAX_BATCH_BYTES).contains(&length) {
            return Err(AdapterError(format!(
                "batch {number}: impossible length {length}"
            )));
        }
        if !self.now_ms.is_finite() || self.now_ms.abs() > 1e14 {
            return Err(AdapterError(format!(
                "batch {number}: impossible clock {}",
                self.now_ms
            )));
        }
        let records_bytes = u64::from(length) - 8;
        self.body.clear();
        input
            .by_ref()
            .take(records_bytes)
            .read_to_end(&mut self.body)?;
        if (self.body.len() as u64) < records_bytes {
            let received = self.body.len();
            return Err(AdapterError(format!(
                "batch {number} cut short: {received} of {records_bytes} bytes of records"
            )));
        }
        Ok(true)
    }

    /// Returns a reader of the events, from the first one on.
    pub(crate) fn events(&self) -> EventReader<'_> {
        EventReader {
            cursor: Cursor::new(&self.body),
            batch: self.number,
            offset: 0,
        }
    }
}

/// One server of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListEntry {
    pub server: u32,
    pub zone: u16,
    pub replica_set: u16,
    /// 1 if ready, 2 if draining, 0 if gone.
    pub state: u8,
    /// Above 0.5 for a primary.
    pub primary: f32,
    /// Capacity, relative to a server of size 1.
    pub size: f32,
    /// When the server started; 0 if that is unknown.
    pub started_at_ms: f64,
}

/// The endpoint lists by number. A list is kept until another one with its number replaces it.
pub(crate) type EndpointLists = [Option<Vec<ListEntry>>; 16];

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct Response {
    pub request_id: u32,
    pub attempt: u8,
    pub server: u32,
    /// How the attempt ended, as a number like an HTTP status; 200 if the server has answered.
    pub status: u16,
    pub latency_ms: f64,
    /// Whether the request is finished, by this response or earlier.
    pub request_finished: bool,
    /// The server's report. Bits 0 and 1: 0 for no report, 1 for a primary, else a replica. The remaining bits: its
    /// replication position in milliseconds since `epoch_ms` of the settings.
    pub report_bits: u32,
}

/// A request of a client.
#[derive(Debug)]
pub(crate) struct Request {
    pub request_id: u32,
    pub class: u16,
    pub tenant: u32,
    /// Identifies the session; 0 for a request without one.
    pub session_key: u64,
    pub deadline_ms: f64,
    pub replica_set: f32,
    /// Age of the position in the client's session token; 0 or less without a token.
    pub token_age_ms: f32,
    /// Bit 1 is set for a client's own retry.
    pub flags: u16,
}

/// An incoming record. Those about instances concern the one that was selected last.
#[derive(Debug)]
pub(crate) enum Event<'a> {
    /// Selects an instance by its number.
    Select(u32),
    /// Creates the instance, in place of an earlier one.
    Open {
        seed: u64,
        /// The settings object as JSON.
        settings: &'a [u8],
    },
    /// Sets the content of an endpoint list, for all instances.
    List {
        list: usize,
        entries: Vec<ListEntry>,
    },
    /// The instance receives a list from discovery, or discovery has failed.
    ListUpdate {
        list: usize,
        /// 0 for changes, 1 for a full list, 2 for a restored one, 3 for a failure, which has no list.
        kind: u8,
    },
    Request(Request),
    /// An attempt has started; ignored, as the decision module has no use for it.
    AttemptStarted,
    Response(Response),
    /// The client of a request has disconnected.
    ClientDisconnected(u32),
    /// A timer has expired, named by its key.
    TimerExpired(u32),
    /// A probe of a server has finished; status 200 if the server has answered.
    ProbeFinished {
        server: u32,
        status: u16,
        /// The server's load report; the settings name its fields.
        load: Vec<f32>,
    },
    /// A message that another gateway has published.
    PeerMessage {
        payload: &'a [u8],
    },
    /// Drops the instance.
    Stop,
}

/// Decodes the events of a batch in their order.
pub(crate) struct EventReader<'a> {
    cursor: Cursor<'a>,
    batch: u32,
    offset: usize,
}

impl<'a> EventReader<'a> {
    /// Offset of the event read last, in bytes from the first record.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Decodes the next event; `None` at the end of the batch.
    pub(crate) fn next(&mut self) -> Result<Option<Event<'a>>, AdapterError> {
        self.offset = self.cursor.offset;
        if self.cursor.remaining() == 0 {
            return Ok(None);
        }
        let (batch, offset) = (self.batch, self.offset);
        self.read_event()
            .map(Some)
            .map_err(|e| e.with_location(batch, offset))
    }

    fn read_event(&mut self) -> Result<Event<'a>, AdapterError> {
        let c = &mut self.cursor;
        let code = c.u16()?;
        Ok(match code {
            1 => {
                let seed = c.u64()?;
                let n = c.u32()? as usize;
                Event::Open {
                    seed,
                    settings: c.take(n)?,
                }
            }
            2 => {
                let (list, kind, _version) = (c.u16()?, c.u8()?, c.u64()?);
                if kind > 3 {
                    return Err(AdapterError(format!("unknown kind {kind} of list update")));
                }
                if list > 15 && kind != 3 {
                    return Err(AdapterError(format!("update from unknown list {list}")));
                }
                Event::ListUpdate {
                    list: usize::from(list),
                    kind,
                }
            }
            3 => Event::Request(Request {
                request_id: c.u32()?,
                class: c.u16()?,
                tenant: c.u32()?,
                session_key: c.u64()?,
                deadline_ms: c.f64()?,
                replica_set: {
                    c.f64()?;
                    c.f32()?
                },
                token_age_ms: c.f32()?,
                flags: c.u16()?,
            }),
            4 => {
                c.take(4 + 4 + 1 + 8)?;
                Event::AttemptStarted
            }
            5 => Event::Response(Response {
                request_id: c.u32()?,
                attempt: c.u8()?,
                server: c.u32()?,
                status: c.u16()?,
                latency_ms: c.f64()?,
                request_finished: c.u8()? != 0,
                report_bits: {
                    let report_bits = c.u32()?;
                    c.load()?;
                    report_bits
                },
            }),
            6 => Event::ClientDisconnected(c.u32()?),
            7 => Event::TimerExpired(c.u32()?),
            8 => {
                let (server, status, _latency) = (c.u32()?, c.u16()?, c.f64()?);
                Event::ProbeFinished {
                    server,
                    status,
                    load: c.load()?,
                }
            }
            9 => {
                c.u32()?;
                let n = usize::from(c.u16()?);
                Event::PeerMessage {
                    payload: c.take(n)?,
                }
            }
            10 => Event::Stop,
            11 => {
                let list = usize::from(c.u16()?);
                if list > 15 {
                    return Err(AdapterError(format!("list number {list} is not 0 to 15")));
                }
                let n = c.u32()? as usize;
                if n > c.remaining() / 26 {
                    return Err(AdapterError(format!(
                        "list of {n} entries runs past the end of the batch"
                    )));
                }
                let entries = (0..n).map(|_| c.list_entry()).collect::<Result<_, _>>()?;
                Event::List { list, entries }
            }
            12 => Event::Select(c.u32()?),
            other => return Err(AdapterError(format!("unknown record code {other}"))),
        })
    }
}

/// Decodes numbers from a byte slice.
struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Cursor<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, offset: 0 }
    }

    fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], AdapterError> {
        if n > self.remaining() {
            return Err(AdapterError(format!(
                "record cut short: {n} bytes wanted, {} left",
                self.remaining()
            )));
        }
        self.offset += n;
        Ok(&self.bytes[self.offset - n..self.offset])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], AdapterError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, AdapterError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, AdapterError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn f64(&mut self) -> Result<f64, AdapterError> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    /// Decodes a load report: the number of its fields in one byte, then the fields.
    fn load(&mut self) -> Result<Vec<f32>, AdapterError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn list_entry(&mut self) -> Result<ListEntry, AdapterError> {
        let (server, zone, _kind, replica_set) =
            (self.u32()?, self.u16()?, self.u8()?, self.u16()?);
        let state = self.u8()?;
        if state > 2 {
            return Err(AdapterError(format!("unknown server state {state}")));
        }
        let (primary, size, started_at_ms) = (self.f32()?, self.f32()?, self.f64()?);
        Ok(ListEntry {
            server,
            zone,
            replica_set,
            state,
            primary,
            size,
            started_at_ms,
        })
    }
}

/// The reply to one batch, under construction; its buffers are reused for the next.
#[derive(Default)]
pub(crate) struct Reply {
    number: u32,
    records: u32,
    body: Vec<u8>,
    instance: u32,
    /// Whether the reply has a record that selects `instance`.
    instance_selected: bool,
    encoded: Vec<u8>,
}

impl Reply {
    /// Begins the reply to a batch, and discards the previous one.
    pub(crate) fn start(&mut self, number: u32) {
        self.number = number;
        self.records = 0;
        self.body.clear();
        self.instance_selected = false;
    }

    /// Selects the instance of the records that follow. The selection is written only ahead of such a record.
    pub(crate) fn select(&mut self, instance: u32) {
        if self.instance != instance {
            self.instance_selected = false;
        }
        self.instance = instance;
    }

    /// Appends a record's code, and returns the buffer for its fields.
    fn begin_record(&mut self, code: u16) -> &mut Vec<u8> {
        if !self.instance_selected {
            self.body.extend_from_slice(&77u16.to_le_bytes());
            self.body.extend_from_slice(&self.instance.to_le_bytes());
            self.records += 1;
            self.instance_selected = true;
        }
        self.records += 1;
        self.body.extend_from_slice(&code.to_le_bytes());
        &mut self.body
    }

    /// Appends a record with a text, cut to 65,535 bytes.
    fn text_record(&mut self, code: u16, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        let out = self.begin_record(code);
        out.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
        out.extend_from_slice(bytes);
    }

    /// Sends a request to a server.
    pub(crate) fn start_attempt(&mut self, request_id: u32, timeout_ms: f64, server: u32) {
        let out = self.begin_record(65);
        out.extend_from_slice(&request_id.to_le_bytes());
        out.extend_from_slice(&timeout_ms.to_le_bytes());
        out.extend_from_slice(&server.to_le_bytes());
    }

    /// Rejects a request, to be retried after a delay at the earliest.
    pub(crate) fn shed(&mut self, request_id: u32, retry_after_ms: f64) {
        let out = self.begin_record(66);
        out.extend_from_slice(&request_id.to_le_bytes());
        out.extend_from_slice(&retry_after_ms.to_le_bytes());
    }

    /// Ends a request of which it is unknown whether it had an effect.
    pub(crate) fn fail(&mut self, request_id: u32) {
        self.begin_record(67)
            .extend_from_slice(&request_id.to_le_bytes());
    }

    pub(crate) fn cancel_attempt(&mut self, request_id: u32, attempt: u8) {
        let out = self.begin_record(68);
        out.extend_from_slice(&request_id.to_le_bytes());
        out.push(attempt);
    }

    pub(crate) fn set_timer(&mut self, at_ms: f64, key: u32) {
        let out = self.begin_record(69);
        out.extend_from_slice(&at_ms.to_le_bytes());
        out.extend_from_slice(&key.to_le_bytes());
    }

    /// Asks a server for a load report.
    pub(crate) fn probe(&mut self, server: u32) {
        self.begin_record(70)
            .extend_from_slice(&server.to_le_bytes());
    }

    /// Sends a message to another gateway, or to all with `u16::MAX`.
    pub(crate) fn publish(&mut self, target: u16, payload: &[u8]) {
        let out = self.begin_record(72);
        out.extend_from_slice(&target.to_le_bytes());
        out.extend_from_slice(&(payload.len() as u16).to_le_bytes());
        out.extend_from_slice(payload);
    }

    pub(crate) fn log(&mut self, text: &str) {
        self.text_record(73, text);
    }

    /// Reports a panic of the decision module.
    pub(crate) fn fatal(&mut self, text: &str) {
        self.text_record(74, text);
    }

    /// Turns pushed endpoint lists on or off.
    pub(crate) fn watch_endpoints(&mut self, watch: bool) {
        self.begin_record(75).push(u8::from(watch));
    }

    /// Asks discovery for the full list once.
    pub(crate) fn poll_endpoints(&mut self) {
        self.begin_record(76);
    }

    /// Writes and flushes the reply.
    pub(crate) fn write(&mut self, output: &mut impl Write) -> Result<(), AdapterError> {
        self.encoded.clear();
        for field in [self.number, self.records, self.body.len() as u32] {
            self.encoded.extend_from_slice(&field.to_le_bytes());
        }
        self.encoded.extend_from_slice(&self.body);
        output.write_all(&self.encoded)?;
        output.flush()?;
        Ok(())
    }
}
