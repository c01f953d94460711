//! Stand-ins for the cases of the second review: discovery's agent, database servers, clients and the gateway as a
//! child process. Written from the users' pages; everything listens and connects on 127.0.0.1 alone.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds, from the clock that all parts of a case read.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_micros() as f64
        / 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run: a line each, with the milliseconds since the case began.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        Record(Arc::new((
            Mutex::new(File::create(path).expect("record.txt")),
            Instant::now(),
        )))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0 .1.elapsed().as_micros() as f64 / 1000.0;
        let mut file = self.0 .0.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
    }
}

/// What a case is started with.
pub struct Case {
    pub trouble: bool,
    pub record: Record,
    /// The repository's root.
    pub root: PathBuf,
    /// A folder for files of this run.
    pub folder: PathBuf,
}

/// Runs a case in a folder of its own and turns its verdict into the exit code: 0 the rule held, 1 it was broken, 2 the
/// case could not run.
///
/// The judgement runs in a thread; a case that takes more than 110 s ends with 2.
pub fn main(number: u32, judge: fn(&Case) -> Result<bool, String>) -> ! {
    let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT"));
    let record = Record::create(&root.join(format!("review/{number}/record.txt")));
    let folder =
        std::env::temp_dir().join(format!("leverpoint-review-{number}-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case {
        trouble,
        record: record.clone(),
        root,
        folder: folder.clone(),
    };
    record.line(format!(
        "case {number}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let (done, result) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| judge(&case)));
        drop(case);
        let _ = done.send(verdict);
    });
    let verdict = result.recv_timeout(Duration::from_secs(110));
    kill_all();
    if std::env::var_os("REVIEW_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (code, text) = match verdict {
        Ok(Ok(Ok(true))) => (0, "the rule held".to_owned()),
        Ok(Ok(Ok(false))) => (1, "the rule was broken".to_owned()),
        Ok(Ok(Err(why))) => (2, format!("could not run: {why}")),
        Ok(Err(_)) => (2, "could not run: the case itself failed".to_owned()),
        Err(_) => (2, "could not run: it took too long".to_owned()),
    };
    record.line(format!("verdict: {text}"));
    println!("case {number}: {text}");
    std::process::exit(code)
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn kill_all() {
    for child in CHILDREN
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .iter_mut()
    {
        let _ = child.kill();
        let _ = child.wait();
    }
}

// ---------------------------------------------------------------------------------------------------- discovery

/// One entry of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub az: String,
    pub group: u16,
    pub state: &'static str,
    pub mode: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m1\",\"pod_group\":{},\"state\":\"{}\",\"mode\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.az, self.group, self.state, self.mode, self.boot_ms
        )
    }
}

pub fn list_json(rev: u64, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!(
        "{{\"rev\":{rev},\"all\":true,\"targets\":[{}]}}",
        entries.join(",")
    )
}

/// The agent: answers a plain call at once, and a watch when there is something newer or its wait is over.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, Vec<Target>)>, Condvar)>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new((1, targets)), Condvar::new()));
        let shared = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                thread::spawn(move || {
                    let _ = serve_agent(stream, &list);
                });
            }
        });
        Discovery { address, list }
    }

    /// Replaces the list; open watches are answered.
    pub fn set(&self, targets: Vec<Target>) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, targets);
        self.list.1.notify_all();
    }
}

fn serve_agent(
    mut stream: TcpStream,
    list: &(Mutex<(u64, Vec<Target>)>, Condvar),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let mut part = [0; 1024];
            let n = stream.read(&mut part)?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(&part[..n]);
        };
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end);
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        let number = |name: &str| -> Option<u64> {
            path.split(['?', '&'])
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut held = list.0.lock().unwrap();
        if let (Some(index), Some(wait)) = (number("index"), number("wait")) {
            let until = Instant::now() + Duration::from_millis(wait.min(60_000));
            while held.0 <= index && Instant::now() < until {
                held = list
                    .1
                    .wait_timeout(held, until.saturating_duration_since(Instant::now()))
                    .unwrap()
                    .0;
            }
            if held.0 <= index {
                let body = format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", held.0);
                drop(held);
                answer_http(&mut stream, &body)?;
                continue;
            }
        }
        let body = list_json(held.0, &held.1);
        drop(held);
        answer_http(&mut stream, &body)?;
    }
}

fn answer_http(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())
}

// ------------------------------------------------------------------------------------------------- database servers

/// A statement as it came to a database server.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    pub write: bool,
    /// The quoted key.
    pub key: String,
    /// The value of a write, in hexadecimal digits.
    pub value: String,
    pub fields: HashMap<String, String>,
    /// When its first byte and its last byte had come.
    pub first_byte: f64,
    pub last_byte: f64,
    /// Bytes of it that had come to the server's system by the end of a hang through which the server did not read;
    /// none if there was no such hang.
    pub come_at_hang_end: Option<usize>,
    pub bytes: usize,
}

impl Statement {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    fn parse(text: &str) -> Option<Statement> {
        let quoted: Vec<&str> = text.split('\'').collect();
        let write = text.starts_with("INSERT INTO records (k, v) VALUES (");
        if !write && !text.starts_with("SELECT v FROM records WHERE k = ") {
            return None;
        }
        let comment = text.split("/* ").nth(1)?.strip_suffix(" */")?;
        let fields = comment
            .split(',')
            .filter_map(|f| f.split_once('='))
            .map(|(n, v)| (n.to_owned(), v.to_owned()));
        Some(Statement {
            write,
            key: quoted.get(1)?.to_string(),
            value: if write {
                quoted.get(3)?.strip_prefix("\\x")?.to_owned()
            } else {
                String::new()
            },
            fields: fields.collect(),
            ..Statement::default()
        })
    }
}

/// What a server makes of its part of a connection.
pub trait Database: Send + Sync + 'static {
    /// Called when a connection was accepted, before anything is read.
    fn on_accept(&self) {}
    /// Called before each read and each write on any connection: a server that hangs waits here. Returns whether it did.
    fn gate(&self) -> bool {
        false
    }
    /// Runs a statement, answers it, and returns whether the connection stays open.
    fn run(&self, statement: Statement, connection: &mut ServerConnection) -> io::Result<bool>;
}

pub struct ServerConnection {
    pub stream: TcpStream,
}

pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// RowDescription, DataRow and CommandComplete of one value.
pub fn row(value: &[u8], write: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut description = vec![0, 1];
    description.extend_from_slice(b"v\0");
    description.extend_from_slice(&[
        0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1,
    ]);
    message(&mut out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend_from_slice(&(value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    message(&mut out, b'D', &data);
    message(
        &mut out,
        b'C',
        if write {
            b"INSERT 0 1\0"
        } else {
            b"SELECT 1\0"
        },
    );
    out
}

/// The role and position, and ReadyForQuery.
pub fn report(primary: bool, position: f64, write: bool) -> Vec<u8> {
    let mut out = Vec::new();
    parameter(
        &mut out,
        "mode",
        if primary { "read-write" } else { "read-only" },
    );
    // Positions are rounded down, commits up.
    let position = if write {
        position.ceil()
    } else {
        position.floor()
    };
    parameter(&mut out, "wal_time", &format!("{position:.0}"));
    message(&mut out, b'Z', b"I");
    out
}

pub fn error(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(
        &mut out,
        b'E',
        format!("SERROR\0C{code}\0Mstand-in\0\0").as_bytes(),
    );
    out
}

extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bytes that a database server's system takes of a connection before the server reads them, as on a small machine.
const RECEIVE_BUFFER: i32 = 16 << 10;

/// Starts a database server; returns its address.
pub fn start_server(database: Arc<dyn Database>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // SOL_SOCKET and SO_RCVBUF of Linux; accepted sockets inherit the size.
    unsafe {
        setsockopt(
            std::os::fd::AsRawFd::as_raw_fd(&listener),
            1,
            8,
            &RECEIVE_BUFFER,
            4,
        )
    };
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let database = database.clone();
            thread::spawn(move || {
                let _ = serve_database(stream, &*database);
            });
        }
    });
    address
}

/// Reads more bytes; returns how many had come at the end of a hang, if the server hung.
fn read_some(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    database: &dyn Database,
) -> io::Result<Option<usize>> {
    let mut part = [0; 4096];
    database.gate();
    // Waits for bytes and leaves them where they are: a process that hangs sees them only at the end of its hang.
    stream.peek(&mut part[..1])?;
    let mut come = None;
    if database.gate() {
        come = Some(input.len() + stream.peek(&mut vec![0; 1 << 20])?);
    }
    let n = stream.read(&mut part)?;
    if n == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    input.extend_from_slice(&part[..n]);
    Ok(come)
}

fn serve_database(mut stream: TcpStream, database: &dyn Database) -> io::Result<()> {
    stream.set_nodelay(true)?;
    database.on_accept();
    let mut input = Vec::new();
    while input.len() < 4
        || input.len() < u32::from_be_bytes(input[..4].try_into().unwrap()) as usize
    {
        read_some(&mut stream, &mut input, database)?;
    }
    let length = u32::from_be_bytes(input[..4].try_into().unwrap()) as usize;
    input.drain(..length);
    let mut out = Vec::new();
    message(&mut out, b'R', &[0; 4]);
    message(&mut out, b'Z', b"I");
    stream.write_all(&out)?;
    let mut connection = ServerConnection { stream };
    loop {
        let mut first_byte = if input.is_empty() {
            None
        } else {
            Some(unix_ms())
        };
        let mut come_at_hang_end = None;
        let whole = loop {
            if input.len() >= 5 {
                let whole = 1 + u32::from_be_bytes(input[1..5].try_into().unwrap()) as usize;
                if input.len() >= whole {
                    break whole;
                }
            }
            let come = read_some(&mut connection.stream, &mut input, database)?;
            come_at_hang_end = come_at_hang_end.or(come);
            first_byte.get_or_insert_with(unix_ms);
        };
        let last_byte = unix_ms();
        let (tag, body) = (input[0], input[5..whole].to_vec());
        input.drain(..whole);
        if tag == b'X' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
        if tag != b'Q' || text.trim().is_empty() {
            let mut out = Vec::new();
            message(&mut out, b'I', &[]);
            message(&mut out, b'Z', b"I");
            connection.stream.write_all(&out)?;
            continue;
        }
        let Some(mut statement) = Statement::parse(&text) else {
            let mut out = error("08P01");
            message(&mut out, b'Z', b"I");
            connection.stream.write_all(&out)?;
            continue;
        };
        (statement.first_byte, statement.last_byte) = (first_byte.unwrap_or(last_byte), last_byte);
        (statement.come_at_hang_end, statement.bytes) = (come_at_hang_end, whole);
        if !database.run(statement, &mut connection)? {
            return Ok(());
        }
    }
}

// --------------------------------------------------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Row(Vec<u8>),
    Error(String, String),
    /// The connection ended without a whole answer.
    Ended,
    /// Nothing in the client's time.
    Nothing,
}

pub struct Client {
    stream: TcpStream,
    input: Vec<u8>,
    /// The field D of the last notice.
    pub notice: Option<String>,
}

/// The field with this letter of an error or a notice.
fn field(body: &[u8], tag: u8) -> String {
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&tag));
    fields.next().map_or(String::new(), |f| {
        String::from_utf8_lossy(&f[1..]).into_owned()
    })
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id, as every request carries one.
pub fn new_id() -> String {
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut client = Client {
            stream,
            input: Vec::new(),
            notice: None,
        };
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0svc\0database\0main\0\0");
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(&body);
        client.stream.write_all(&out)?;
        while client.next_message()?.0 != b'Z' {}
        Ok(client)
    }

    fn next_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if self.input.len() >= 5 {
                let whole = 1 + u32::from_be_bytes(self.input[1..5].try_into().unwrap()) as usize;
                if self.input.len() >= whole {
                    let message = (self.input[0], self.input[5..whole].to_vec());
                    self.input.drain(..whole);
                    return Ok(message);
                }
            }
            let mut part = [0; 8192];
            let n = self.stream.read(&mut part)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.input.extend_from_slice(&part[..n]);
        }
    }

    /// Sends a statement without waiting for its answer.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let mut out = Vec::new();
        message(&mut out, b'Q', format!("{text}\0").as_bytes());
        self.stream.write_all(&out)
    }

    /// Waits for the answer of the statement sent last, for `ms` between two messages at most.
    pub fn answer(&mut self, ms: u64) -> Answer {
        let _ = self
            .stream
            .set_read_timeout(Some(Duration::from_millis(ms)));
        let (mut value, mut complete, mut failure) = (None, false, None);
        loop {
            match self.next_message() {
                Ok((b'D', body)) => value = Some(body[6..].to_vec()),
                Ok((b'C' | b'I', _)) => complete = true,
                Ok((b'N', body)) => self.notice = Some(field(&body, b'D')),
                Ok((b'E', body)) => {
                    failure = Some(Answer::Error(field(&body, b'C'), field(&body, b'M')))
                }
                Ok((b'Z', _)) => {
                    return match (failure, value) {
                        (Some(failure), _) => failure,
                        (None, Some(value)) if complete => Answer::Row(value),
                        (None, None) if complete => Answer::Row(Vec::new()),
                        _ => Answer::Ended,
                    };
                }
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Answer::Nothing
                }
                Err(_) => return failure.unwrap_or(Answer::Ended),
            }
        }
    }

    pub fn query(&mut self, text: &str, ms: u64) -> Answer {
        match self.send(text) {
            Ok(()) => self.answer(ms),
            Err(_) => Answer::Ended,
        }
    }
}

pub fn read_text(key: &str, comment: &str) -> String {
    format!("SELECT v FROM records WHERE k = '{key}' /* {comment} */")
}

pub fn write_text(key: &str, hex: &str, comment: &str) -> String {
    format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x{hex}') RETURNING v /* {comment} */")
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

// ---------------------------------------------------------------------------------------------------- the gateway

/// A port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A gateway as a process of its own, started with `run` of the deploy file.
pub struct Gateway {
    pub address: SocketAddr,
    pub pid: u32,
}

pub struct GatewayFiles<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: &'a str,
    pub memory_mb: u32,
    /// The operator's own file, where the case is about an installation that has one.
    pub operator: Option<String>,
}

impl Gateway {
    pub fn start(case: &Case, files: &GatewayFiles<'_>) -> Result<Gateway, String> {
        let deploy = std::fs::read_to_string(case.root.join("deploy/balancer.toml"))
            .map_err(|e| e.to_string())?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.split('"').next())
            .ok_or("no run")?;
        let folder = case.folder.join(format!(
            "{}-{}",
            files.name,
            NEXT_ID.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let config = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":1024}},\"known\":{},\"settings\":{}}}",
            files.name, files.listen, files.discovery, files.memory_mb, files.known, files.settings
        );
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        let mut command_line = run.to_owned();
        if let Some(operator) = &files.operator {
            let path = folder.join("operator.hcl");
            std::fs::write(&path, operator).map_err(|e| e.to_string())?;
            command_line += &format!(" --operator {}", path.display());
        }
        let log = File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG, SIGKILL: the gateway ends with the case, also where the case is killed.
        unsafe {
            std::os::unix::process::CommandExt::pre_exec(&mut command, || {
                prctl(1, 9u64);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(&command_line)
            .current_dir(&case.root)
            .env("NODE_NAME", files.name)
            .env("NODE_LISTEN", files.listen.to_string())
            .env("NODE_DISCOVERY", files.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        case.record
            .line(format!("gateway {} started: {command_line}", files.name));
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(files.listen) {
                if client.query("", 3000) == Answer::Row(Vec::new()) {
                    case.record.line(format!("gateway {} is ready", files.name));
                    return Ok(Gateway {
                        address: files.listen,
                        pid,
                    });
                }
            }
            sleep_ms(20);
        }
        let log = std::fs::read_to_string(folder.join("log.txt")).unwrap_or_default();
        Err(format!("gateway {} is not ready: {log}", files.name))
    }

    /// Sends a signal by name, as the shell's kill does.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.pid))
            .status();
    }

    /// Waits for the end of the process.
    pub fn wait(&self, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            for child in CHILDREN.lock().unwrap().iter_mut() {
                if child.id() == self.pid && matches!(child.try_wait(), Ok(Some(_))) {
                    return true;
                }
            }
            sleep_ms(5);
        }
        false
    }
}
