//! Owns the world that code under test stands on: processes and their tasks, virtual time, connections.
//!
//! One seed decides all that is open: which of several ready tasks goes on first, the order of what falls on one
//! instant, how long bytes take and where they are split. It must never read a real clock, or wake anything but
//! through its own queue.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hash;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;

use fastrand::Rng;
use leverpoint_cluster_model::Ticks;
use leverpoint_runtime::{
    ConnectFuture, Instant, SimulatedConnection, SimulatedListener, SimulatedRuntime, Task,
};
use xxhash_rust::xxh3::Xxh3;

/// Time of day when the world begins: a whole second, so that it falls on the grid that all times here are on.
pub const START_UNIX_TIME: Duration = Duration::from_secs(1_767_225_600);
/// What one direction of a connection holds, on its way and unread.
const WINDOW: usize = 64 << 10;

pub type ProcessId = usize;

/// What a process is to the gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    #[default]
    Client,
    Gateway,
    Agent,
    Server,
}

/// What an event of the trace is about. The digest covers these by their order here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
    Client,
    ClientResponse,
    Copies,
    Fault,
    Gateway,
    Server,
    ServerResponse,
    Member,
    Operator,
    ReplicaSet,
    Read,
    Write,
}

impl EventSource {
    fn name(self) -> &'static str {
        match self {
            EventSource::Client
            | EventSource::ClientResponse
            | EventSource::Read
            | EventSource::Write => "client",
            EventSource::Copies => "copies",
            EventSource::Fault => "fault",
            EventSource::Gateway => "gateway",
            EventSource::Server | EventSource::ServerResponse => "machine",
            EventSource::Member => "member",
            EventSource::Operator => "operator",
            EventSource::ReplicaSet => "set",
        }
    }
}

/// What an instant brings to a gateway, as far as collisions are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayEvent {
    Timer,
    Request,
    ClientClosed,
    Accept,
    Reply,
    UpstreamClosed,
    Connected,
    EndpointList,
    Shutdown,
    ConfigReload,
}

pub const GATEWAY_EVENTS: [(GatewayEvent, &str); 10] = [
    (GatewayEvent::Timer, "timer"),
    (GatewayEvent::Request, "command"),
    (GatewayEvent::ClientClosed, "hang-up"),
    (GatewayEvent::Accept, "accept"),
    (GatewayEvent::Reply, "reply"),
    (GatewayEvent::UpstreamClosed, "break"),
    (GatewayEvent::Connected, "connected"),
    (GatewayEvent::EndpointList, "list"),
    (GatewayEvent::Shutdown, "stop"),
    (GatewayEvent::ConfigReload, "reread"),
];

/// How often one fell on another's instant at the same gateway, by the one that the seed let go first.
pub type Collisions = [[u64; GATEWAY_EVENTS.len()]; GATEWAY_EVENTS.len()];

enum Due {
    Wake(u64, Waker, ProcessId),
    /// Bytes arrive at an end.
    Bytes(Rc<End>, Vec<u8>),
    Finish(Rc<End>),
    Reset(Rc<End>),
    Connect(Rc<RefCell<Knock>>),
    /// Of the script; what it is to which gateway.
    Fault(usize, Option<(ProcessId, GatewayEvent)>),
}

struct Flag {
    task: usize,
    queued: AtomicBool,
}

thread_local! {
    static READY: RefCell<Vec<usize>> = const { RefCell::new(Vec::new()) };
}

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Relaxed) {
            READY.with(|ready| ready.borrow_mut().push(self.task));
        }
    }
}

struct Running {
    process: ProcessId,
    future: Option<Task>,
    flag: Arc<Flag>,
    waker: Waker,
}

/// What is known of a process beside its tasks.
#[derive(Clone, Default)]
struct Life {
    alive: bool,
    /// Says and hears nothing.
    silent: bool,
    /// Does not run; what comes to it waits.
    stopped: bool,
    /// What its clock of the day is off.
    off: i64,
    role: Role,
}

/// What happens to what is written from one process to another, each write a whole message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    pub blocked: bool,
    /// Parts of the messages, from 0 to 1.
    pub loss_rate: f64,
    pub duplication_rate: f64,
}

pub struct Simulation {
    me: Weak<Simulation>,
    base: Instant,
    now: Cell<Ticks>,
    tasks: RefCell<Vec<Option<Running>>>,
    free: RefCell<Vec<usize>>,
    lives: RefCell<Vec<Life>>,
    current: Cell<ProcessId>,
    due: RefCell<BTreeMap<(Ticks, u64), Due>>,
    next: Cell<u64>,
    /// How many unguessable numbers were given out.
    numbers: Cell<u64>,
    timers: RefCell<BTreeMap<u64, (Ticks, u64)>>,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<Door>>>,
    pub rng: RefCell<Rng>,
    latency: (Ticks, Ticks),
    pub steps: Cell<u64>,
    pub panics: Cell<u64>,
    pub collisions: RefCell<Collisions>,
    pub digest: RefCell<Xxh3>,
    trace: RefCell<Option<Vec<String>>>,
    ends: RefCell<Vec<Weak<End>>>,
    faults: RefCell<Vec<usize>>,
    ways: RefCell<BTreeMap<(ProcessId, ProcessId), LinkFaults>>,
    /// Ready tasks of processes that are stopped.
    still: RefCell<Vec<(ProcessId, usize)>>,
}

impl Simulation {
    pub fn new(seed: u64, base: Instant, latency: (Ticks, Ticks), traced: bool) -> Rc<Simulation> {
        READY.with(|ready| ready.borrow_mut().clear());
        Rc::new_cyclic(|me| Simulation {
            me: me.clone(),
            base,
            now: Cell::new(0),
            tasks: RefCell::default(),
            free: RefCell::default(),
            lives: RefCell::default(),
            current: Cell::new(0),
            due: RefCell::default(),
            next: Cell::new(0),
            numbers: Cell::new(0),
            timers: RefCell::default(),
            listeners: RefCell::default(),
            rng: RefCell::new(Rng::with_seed(seed)),
            latency,
            steps: Cell::new(0),
            panics: Cell::new(0),
            collisions: RefCell::default(),
            digest: RefCell::new(Xxh3::with_seed(seed)),
            trace: RefCell::new(traced.then(Vec::new)),
            ends: RefCell::default(),
            faults: RefCell::default(),
            ways: RefCell::default(),
            still: RefCell::default(),
        })
    }

    /// From here on, in that direction.
    pub fn set_link_faults(&self, from: ProcessId, to: ProcessId, way: LinkFaults) {
        if way == LinkFaults::default() {
            self.ways.borrow_mut().remove(&(from, to));
        } else {
            self.ways.borrow_mut().insert((from, to), way);
        }
    }

    fn way(&self, from: ProcessId, to: ProcessId) -> Option<LinkFaults> {
        self.ways.borrow().get(&(from, to)).copied()
    }

    /// The process stands still, or goes on with all that came meanwhile.
    pub fn set_suspended(&self, process: ProcessId, stopped: bool) {
        self.lives.borrow_mut()[process].stopped = stopped;
        if !stopped {
            let mut still = self.still.borrow_mut();
            READY.with(|ready| {
                let mine = still.iter().filter(|(p, _)| *p == process);
                ready.borrow_mut().extend(mine.map(|(_, task)| *task));
            });
            still.retain(|(p, _)| *p != process);
        }
    }

    fn stopped(&self, process: ProcessId) -> bool {
        self.lives
            .borrow()
            .get(process)
            .is_some_and(|life| life.stopped)
    }

    pub fn time(&self) -> Ticks {
        self.now.get()
    }

    pub fn instant_at(&self, at: Ticks) -> Instant {
        self.base + Duration::from_micros(at.max(0) as u64 * 100)
    }

    /// Rounded up to the grid.
    fn tenths(&self, at: Instant) -> Ticks {
        at.saturating_duration_since(self.base)
            .as_nanos()
            .div_ceil(100_000) as Ticks
    }

    /// Records one event: its time, source and `values` go into the digest, `text` is its line of the trace.
    ///
    /// The digest covers values alone, so that it stays the same when names in the text change.
    pub fn record(&self, source: EventSource, values: impl Hash, text: impl FnOnce() -> String) {
        let mut digest = self.digest.borrow_mut();
        (self.time(), source).hash(&mut *digest);
        values.hash(&mut *digest);
        if let Some(trace) = &mut *self.trace.borrow_mut() {
            trace.push(format!(
                "{:>9.1} {} {}",
                self.time() as f64 / 10.0,
                source.name(),
                text()
            ));
        }
    }

    pub fn take_trace(&self) -> Vec<String> {
        self.trace.borrow_mut().take().unwrap_or_default()
    }

    fn put(&self, at: Ticks, due: Due) -> (Ticks, u64) {
        let key = (at.max(self.time()), self.next.replace(self.next.get() + 1));
        self.due.borrow_mut().insert(key, due);
        key
    }

    /// A fault of the script falls due then.
    pub fn schedule_fault(
        &self,
        at: Ticks,
        fault: usize,
        meets: Option<(ProcessId, GatewayEvent)>,
    ) {
        self.put(at, Due::Fault(fault, meets));
    }

    /// Faults that have fallen due since the last step.
    pub fn take_due_faults(&self) -> Vec<usize> {
        std::mem::take(&mut self.faults.borrow_mut())
    }

    /// A process begins, or begins again under its old number.
    pub fn start_process(&self, process: ProcessId, role: Role) {
        let mut lives = self.lives.borrow_mut();
        if lives.len() <= process {
            lives.resize(process + 1, Life::default());
        }
        (
            lives[process].alive,
            lives[process].role,
            lives[process].stopped,
        ) = (true, role, false);
    }

    pub fn set_clock_offset(&self, process: ProcessId, off: Ticks) {
        self.lives.borrow_mut()[process].off = off;
    }

    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.lives
            .borrow()
            .get(process)
            .is_some_and(|life| life.alive)
    }

    fn silent(&self, process: ProcessId) -> bool {
        self.lives
            .borrow()
            .get(process)
            .is_some_and(|life| life.silent)
    }

    /// The machine is cut off, or back: what was open then is reset.
    pub fn set_isolated(&self, process: ProcessId, silent: bool) {
        self.lives.borrow_mut()[process].silent = silent;
        if !silent {
            self.ends_of(process)
                .into_iter()
                .for_each(|end| end.break_off(self));
        }
    }

    fn ends_of(&self, process: ProcessId) -> Vec<Rc<End>> {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|end| end.strong_count() > 0);
        ends.iter()
            .filter_map(Weak::upgrade)
            .filter(|end| end.process == process)
            .collect()
    }

    /// Ends a process outright: its tasks are gone, its connections reset, its listeners closed.
    pub fn kill(&self, process: ProcessId) {
        self.lives.borrow_mut()[process].alive = false;
        self.still.borrow_mut().retain(|(p, _)| *p != process);
        self.listeners
            .borrow_mut()
            .retain(|_, door| door.process != process);
        let ends = self.ends_of(process);
        let before = self.current.replace(process);
        let mine: Vec<usize> = {
            let tasks = self.tasks.borrow();
            let of = |(id, task): (usize, &Option<Running>)| {
                task.as_ref().filter(|t| t.process == process).map(|_| id)
            };
            tasks.iter().enumerate().filter_map(of).collect()
        };
        for id in mine {
            // What a task drops may reach for the world, so nothing is borrowed meanwhile.
            let task = self.tasks.borrow_mut()[id].take();
            drop(task);
            self.free.borrow_mut().push(id);
        }
        self.current.set(before);
        ends.into_iter().for_each(|end| end.break_off(self));
    }

    pub fn spawn_in(&self, process: ProcessId, task: Task) {
        if !self.is_alive(process) {
            return;
        }
        let id = self.free.borrow_mut().pop().unwrap_or_else(|| {
            self.tasks.borrow_mut().push(None);
            self.tasks.borrow().len() - 1
        });
        let flag = Arc::new(Flag {
            task: id,
            queued: AtomicBool::new(false),
        });
        let waker = Waker::from(flag.clone());
        flag.wake_by_ref();
        self.tasks.borrow_mut()[id] = Some(Running {
            process,
            future: Some(task),
            flag,
            waker,
        });
    }

    pub fn task_count(&self, process: ProcessId) -> usize {
        self.tasks
            .borrow()
            .iter()
            .flatten()
            .filter(|t| t.process == process)
            .count()
    }

    pub fn listen(self: &Rc<Self>, process: ProcessId, at: SocketAddr) -> Rc<Door> {
        let door = Rc::new(Door {
            process,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        self.listeners.borrow_mut().insert(at, door.clone());
        door
    }

    /// One step: a ready task goes on, or time passes to the next that is due. False once nothing is left before `end`.
    pub fn step(&self, end: Ticks) -> bool {
        let ready = READY.with(|ready| {
            let mut ready = ready.borrow_mut();
            if ready.is_empty() {
                return None;
            }
            let pick = if ready.len() == 1 {
                0
            } else {
                self.rng.borrow_mut().usize(..ready.len())
            };
            Some(ready.swap_remove(pick))
        });
        if let Some(id) = ready {
            self.poll(id);
            return true;
        }
        self.pass(end)
    }

    fn poll(&self, id: usize) {
        let taken = {
            let mut tasks = self.tasks.borrow_mut();
            let Some(Some(task)) = tasks.get_mut(id) else {
                return;
            };
            if self.stopped(task.process) {
                return self.still.borrow_mut().push((task.process, id));
            }
            task.flag.queued.store(false, Relaxed);
            let Some(future) = task.future.take() else {
                return;
            };
            (task.process, future, task.waker.clone())
        };
        let (process, mut future, waker) = taken;
        self.current.set(process);
        self.steps.set(self.steps.get() + 1);
        let done = catch_unwind(AssertUnwindSafe(|| {
            future.as_mut().poll(&mut Context::from_waker(&waker))
        }));
        match done {
            Ok(Poll::Pending) => {
                if let Some(Some(task)) = self.tasks.borrow_mut().get_mut(id) {
                    task.future = Some(future);
                    return;
                }
            }
            Ok(Poll::Ready(())) => {}
            Err(_) => self.panics.set(self.panics.get() + 1),
        }
        drop(future);
        if self
            .tasks
            .borrow_mut()
            .get_mut(id)
            .is_some_and(|task| task.take().is_some())
        {
            self.free.borrow_mut().push(id);
        }
    }

    /// All that falls on the next instant, in an order that the seed decides.
    fn pass(&self, end: Ticks) -> bool {
        let Some(at) = self.due.borrow().first_key_value().map(|((at, _), _)| *at) else {
            return false;
        };
        if at > end {
            return false;
        }
        self.now.set(at);
        let mut batch = Vec::new();
        {
            let mut due = self.due.borrow_mut();
            while let Some(entry) = due.first_entry().filter(|e| e.key().0 == at) {
                batch.push(entry.remove());
            }
        }
        batch.retain(|due| !self.clings(at, due));
        if batch.len() > 1 {
            // Bytes of one connection keep their order: they are due at one instant only by being one delivery.
            self.rng.borrow_mut().shuffle(&mut batch);
            let met: Vec<_> = batch.iter().filter_map(|due| self.met(due)).collect();
            let mut collisions = self.collisions.borrow_mut();
            for (later, (gateway, what)) in met.iter().enumerate() {
                let before = met[..later]
                    .iter()
                    .filter(|(other, first)| other == gateway && first != what);
                before.for_each(|(_, first)| collisions[*first as usize][*what as usize] += 1);
            }
        }
        for due in batch {
            self.happens(due);
            self.steps.set(self.steps.get() + 1);
        }
        true
    }

    /// Which gateway hears of this, and as what.
    fn met(&self, due: &Due) -> Option<(ProcessId, GatewayEvent)> {
        let role = |process: ProcessId| self.lives.borrow().get(process).map(|life| life.role);
        let (gateway, what) = match due {
            Due::Wake(_, _, process) => (*process, GatewayEvent::Timer),
            Due::Bytes(end, _) => {
                let what = match role(end.toward)? {
                    Role::Server => GatewayEvent::Reply,
                    Role::Agent => GatewayEvent::EndpointList,
                    _ => GatewayEvent::Request,
                };
                (end.process, what)
            }
            Due::Finish(end) | Due::Reset(end) => {
                let what = match role(end.toward)? {
                    Role::Client => GatewayEvent::ClientClosed,
                    _ => GatewayEvent::UpstreamClosed,
                };
                (end.process, what)
            }
            Due::Connect(knock) => {
                let (from, to) = (knock.borrow().from, knock.borrow().to);
                let door = self.listeners.borrow().get(&to).map(|door| door.process);
                match door {
                    Some(door) if role(door) == Some(Role::Gateway) => (door, GatewayEvent::Accept),
                    _ => (from, GatewayEvent::Connected),
                }
            }
            Due::Fault(_, meets) => (*meets)?,
        };
        (role(gateway) == Some(Role::Gateway)).then_some((gateway, what))
    }

    /// What a signal meets is too rare by itself: every second one waits, for 100 ms at most, for the next that its
    /// gateway accepts or is sent, and falls on the same instant.
    fn clings(&self, at: Ticks, due: &Due) -> bool {
        let Due::Fault(fault, Some(meets)) = due else {
            return false;
        };
        if self.rng.borrow_mut().bool() {
            return false;
        }
        let next = {
            let all = self.due.borrow();
            let later = all.range((at + 1, 0)..(at + 1_000, 0));
            let wanted = |what| {
                matches!(
                    what,
                    GatewayEvent::Accept | GatewayEvent::Request | GatewayEvent::EndpointList
                )
            };
            later.into_iter().find_map(|((then, _), other)| {
                self.met(other)
                    .filter(|(gateway, what)| *gateway == meets.0 && wanted(*what))
                    .map(|_| *then)
            })
        };
        next.map(|then| self.put(then, Due::Fault(*fault, Some(*meets))))
            .is_some()
    }

    fn happens(&self, due: Due) {
        match due {
            Due::Wake(timer, waker, _) => {
                self.timers.borrow_mut().remove(&timer);
                waker.wake();
            }
            Due::Bytes(end, bytes) => end.receive(self, bytes),
            Due::Finish(end) => end.hear_end(),
            Due::Reset(end) => end.hear_reset(),
            Due::Connect(knock) => self.knocked(&knock),
            Due::Fault(fault, _) => self.faults.borrow_mut().push(fault),
        }
    }

    fn takes(&self) -> Ticks {
        self.rng.borrow_mut().i64(self.latency.0..=self.latency.1)
    }

    fn knocked(&self, knock: &Rc<RefCell<Knock>>) {
        let (from, to) = (knock.borrow().from, knock.borrow().to);
        let door = self.listeners.borrow().get(&to).cloned();
        let outcome = match door {
            _ if self.silent(from) || !self.is_alive(from) => return,
            Some(door) if self.silent(door.process) => return,
            Some(door) if self.cut_between(from, door.process) => return,
            Some(door) if self.is_alive(door.process) => {
                let (near, far) = self.pair(from, door.process);
                door.queue.borrow_mut().push_back(far);
                door.waker
                    .borrow_mut()
                    .take()
                    .into_iter()
                    .for_each(Waker::wake);
                Ok(near)
            }
            _ => Err(ErrorKind::ConnectionRefused.into()),
        };
        let mut knock = knock.borrow_mut();
        knock.outcome = Some(outcome);
        knock.waker.take().into_iter().for_each(Waker::wake);
    }

    fn cut_between(&self, one: ProcessId, other: ProcessId) -> bool {
        [(one, other), (other, one)]
            .into_iter()
            .any(|(a, b)| self.way(a, b).is_some_and(|way| way.blocked))
    }

    fn pair(&self, one: ProcessId, other: ProcessId) -> (Rc<End>, Rc<End>) {
        let end = |process, toward| {
            Rc::new(End {
                sim: self.me.clone(),
                process,
                toward,
                other: RefCell::new(Weak::new()),
                inner: RefCell::default(),
            })
        };
        let (near, far) = (end(one, other), end(other, one));
        *near.other.borrow_mut() = Rc::downgrade(&far);
        *far.other.borrow_mut() = Rc::downgrade(&near);
        let mut ends = self.ends.borrow_mut();
        if ends.len() > 256 {
            ends.retain(|end| end.strong_count() > 0);
        }
        ends.extend([Rc::downgrade(&near), Rc::downgrade(&far)]);
        (near, far)
    }
}

impl SimulatedRuntime for Simulation {
    fn now(&self) -> Instant {
        self.instant_at(self.time())
    }

    fn unix_time(&self) -> Duration {
        let off = self
            .lives
            .borrow()
            .get(self.current.get())
            .map_or(0, |life| life.off);
        START_UNIX_TIME + Duration::from_micros((self.time() + off).max(0) as u64 * 100)
    }

    fn start_timer(&self, at: Instant, waker: &Waker) -> u64 {
        let timer = self.next.replace(self.next.get() + 1);
        let key = self.put(
            self.tenths(at),
            Due::Wake(timer, waker.clone(), self.current.get()),
        );
        self.timers.borrow_mut().insert(timer, key);
        timer
    }

    fn cancel_timer(&self, timer: u64) {
        if let Some(key) = self.timers.borrow_mut().remove(&timer) {
            self.due.borrow_mut().remove(&key);
        }
    }

    fn spawn(&self, task: Task) {
        self.spawn_in(self.current.get(), task);
    }

    fn secure_random_u64(&self) -> u64 {
        // Apart from the chance that decides all else, so that a seed plays as it did.
        let nth = self.numbers.replace(self.numbers.get() + 1);
        Rng::with_seed(nth).u64(..)
    }

    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let knock = Rc::new(RefCell::new(Knock {
            from: self.current.get(),
            to,
            outcome: None,
            waker: None,
        }));
        let at = self.time() + self.takes() + self.takes();
        self.put(at, Due::Connect(knock.clone()));
        Box::pin(std::future::poll_fn(move |cx| {
            let mut knock = knock.borrow_mut();
            match knock.outcome.take() {
                Some(outcome) => Poll::Ready(outcome.map(|end| end as Rc<dyn SimulatedConnection>)),
                None => {
                    knock.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        }))
    }
}

struct Knock {
    from: ProcessId,
    to: SocketAddr,
    outcome: Option<io::Result<Rc<End>>>,
    waker: Option<Waker>,
}

/// Where connections to a process come in.
pub struct Door {
    process: ProcessId,
    queue: RefCell<VecDeque<Rc<End>>>,
    waker: RefCell<Option<Waker>>,
}

impl SimulatedListener for Door {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<Rc<dyn SimulatedConnection>> {
        match self.queue.borrow_mut().pop_front() {
            Some(end) => Poll::Ready(end),
            None => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// One end of a connection.
pub struct End {
    sim: Weak<Simulation>,
    process: ProcessId,
    /// Whose the other end is, or was.
    toward: ProcessId,
    other: RefCell<Weak<End>>,
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    unread: VecDeque<u8>,
    /// The other side has said that nothing more comes; the connection is broken.
    ended: bool,
    broken: bool,
    /// What this side has written and the other has not read, and how much of it is on its way.
    outstanding: usize,
    on_its_way: usize,
    /// Nothing written later comes earlier.
    last: Ticks,
    finished: bool,
    discarded: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl End {
    fn other(&self) -> Option<Rc<End>> {
        self.other.borrow().upgrade()
    }

    fn wake(&self) {
        let mut inner = self.inner.borrow_mut();
        let wakers = [inner.reader.take(), inner.writer.take()];
        drop(inner);
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Whether anything passes between the two machines.
    fn passes(&self, sim: &Simulation) -> bool {
        let other = self.other.borrow().upgrade();
        !sim.silent(self.process) && other.is_none_or(|other| !sim.silent(other.process))
    }

    fn receive(&self, sim: &Simulation, bytes: Vec<u8>) {
        let passes = self.passes(sim);
        let mut inner = self.inner.borrow_mut();
        if let Some(other) = self.other() {
            other.inner.borrow_mut().on_its_way -= bytes.len();
        }
        if inner.broken || !passes {
            return;
        }
        inner.unread.extend(bytes);
        drop(inner);
        self.wake();
    }

    fn hear_end(&self) {
        self.inner.borrow_mut().ended = true;
        self.wake();
    }

    fn hear_reset(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.broken = true;
        inner.unread.clear();
        drop(inner);
        self.wake();
    }

    /// The other side is reset after a way, and this one at once.
    fn break_off(&self, sim: &Simulation) {
        if let Some(other) = self.other() {
            let at = (sim.time() + sim.takes()).max(self.inner.borrow().last + 1);
            sim.put(at, Due::Reset(other));
        }
        self.hear_reset();
    }
}

impl SimulatedConnection for End {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.inner.borrow_mut();
        if !inner.unread.is_empty() || inner.ended || inner.broken {
            return Poll::Ready(());
        }
        inner.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        let mut inner = self.inner.borrow_mut();
        if inner.broken {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if inner.unread.is_empty() {
            return if inner.ended {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let mut read = 0;
        for slice in to {
            let n = slice.len().min(inner.unread.len());
            let (front, back) = inner.unread.as_slices();
            let in_front = n.min(front.len());
            slice[..in_front].copy_from_slice(&front[..in_front]);
            slice[in_front..n].copy_from_slice(&back[..n - in_front]);
            inner.unread.drain(..n);
            read += n;
        }
        drop(inner);
        if let Some(other) = self.other() {
            other.inner.borrow_mut().outstanding -= read;
            let writer = other.inner.borrow_mut().writer.take();
            writer.into_iter().for_each(Waker::wake);
        }
        Ok(read)
    }

    fn peer_closed(&self) -> bool {
        let inner = self.inner.borrow();
        inner.ended || inner.broken
    }

    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.inner.borrow_mut();
        if inner.outstanding < WINDOW || inner.broken {
            return Poll::Ready(());
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
        let Some(sim) = self.sim.upgrade() else {
            return Err(ErrorKind::BrokenPipe.into());
        };
        let mut inner = self.inner.borrow_mut();
        let Some(other) = self.other().filter(|_| !inner.broken && !inner.finished) else {
            return Err(ErrorKind::BrokenPipe.into());
        };
        let mut bytes: Vec<u8> = from
            .iter()
            .flat_map(|slice| slice.iter().copied())
            .collect();
        bytes.truncate(WINDOW - inner.outstanding.min(WINDOW));
        if bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let wrote = bytes.len();
        if let Some(way) = sim.way(self.process, self.toward) {
            let mut rng = sim.rng.borrow_mut();
            if way.blocked || rng.f64() < way.loss_rate {
                return Ok(wrote);
            }
            if rng.f64() < way.duplication_rate {
                bytes.extend_from_within(..);
            }
        }
        let wrote_once = wrote;
        let wrote = bytes.len();
        inner.outstanding += wrote;
        inner.on_its_way += wrote;
        // One piece in four comes in two, split anywhere.
        let split = {
            let mut rng = sim.rng.borrow_mut();
            (bytes.len() > 1 && rng.u8(..4) == 0).then(|| rng.usize(1..wrote))
        };
        let back = split.map(|at| bytes.split_off(at));
        for piece in [Some(bytes), back].into_iter().flatten() {
            let at = (sim.time() + sim.takes()).max(inner.last + 1);
            inner.last = at;
            sim.put(at, Due::Bytes(other.clone(), piece));
        }
        Ok(wrote_once)
    }

    fn shutdown_write(&self) {
        let Some(sim) = self.sim.upgrade() else {
            return;
        };
        let mut inner = self.inner.borrow_mut();
        if std::mem::replace(&mut inner.finished, true) || inner.broken {
            return;
        }
        if let Some(other) = self.other() {
            let at = (sim.time() + sim.takes()).max(inner.last + 1);
            inner.last = at;
            sim.put(at, Due::Finish(other));
        }
    }

    fn reset_on_drop(&self) {
        self.inner.borrow_mut().discarded = true;
    }

    fn unacknowledged_bytes(&self) -> usize {
        self.inner.borrow().on_its_way
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let Some(sim) = self.sim.upgrade() else {
            return;
        };
        let Some(other) = self.other() else { return };
        let inner = self.inner.get_mut();
        if inner.broken {
            return;
        }
        // What this side has not read, or was to discard, makes the end a reset.
        let at = (sim.time() + sim.takes()).max(inner.last + 1);
        let due = if inner.discarded || !inner.unread.is_empty() {
            Due::Reset(other)
        } else {
            Due::Finish(other)
        };
        if !inner.finished || matches!(due, Due::Reset(_)) {
            sim.put(at, due);
        }
    }
}
