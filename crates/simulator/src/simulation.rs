//! The simulated runtime: processes with their tasks, virtual time, and connections between processes.
//!
//! A seed decides everything that a real system leaves open: which of several ready tasks is polled first, the order of
//! events that are due at the same instant, the latency of written bytes, and where they are split.
//!
//! # Invariants
//!
//! No real clock is read, and nothing but the events of the simulation wakes a task.

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

/// Time since the Unix epoch at which a run starts. A whole second, so that ticks since the start and ticks since the
/// epoch fall on the same instants.
pub const START_UNIX_TIME: Duration = Duration::from_secs(1_767_225_600);
/// Most bytes of one direction of a connection that are in flight or unread before a write has to wait.
const CONNECTION_WINDOW_BYTES: usize = 64 << 10;

/// Index of a process in the list of processes. A process that starts again keeps its index.
pub type ProcessId = usize;

/// The kind of a process, by which events at a gateway are told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    #[default]
    Client,
    Gateway,
    Agent,
    Server,
}

/// What a recorded event is about. The digest covers these by their order here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
    Client,
    ClientResponse,
    Replication,
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
    /// The word that stands for the source in a trace.
    fn name(self) -> &'static str {
        match self {
            EventSource::Client
            | EventSource::ClientResponse
            | EventSource::Read
            | EventSource::Write => "client",
            EventSource::Replication => "copies",
            EventSource::Fault => "fault",
            EventSource::Gateway => "gateway",
            EventSource::Server | EventSource::ServerResponse => "machine",
            EventSource::Member => "member",
            EventSource::Operator => "operator",
            EventSource::ReplicaSet => "set",
        }
    }
}

/// The kinds of events at a gateway between which collisions are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayEvent {
    Timer,
    /// Bytes from a client or another gateway.
    Request,
    /// A client has closed or reset its connection.
    ClientClosed,
    /// A connection from a client or another gateway.
    Accept,
    /// Bytes from a server.
    Reply,
    /// A server, agent or gateway has closed or reset its connection.
    UpstreamClosed,
    /// The result of an attempt to connect.
    Connected,
    /// Bytes from the agent.
    EndpointList,
    /// SIGTERM.
    Shutdown,
    /// SIGHUP.
    Reload,
}

/// Every kind of event with its printed name, in the order of the enum.
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
    (GatewayEvent::Reload, "reread"),
];

/// How often two events of different kinds fell on the same instant at one gateway: `[first][second]`, in the order
/// that the seed decided.
pub type Collisions = [[u64; GATEWAY_EVENTS.len()]; GATEWAY_EVENTS.len()];

/// An event that is due at some time.
enum QueuedEvent {
    /// Number of the timer, the waker of its task, and the process that started it.
    Timer(u64, Waker, ProcessId),
    /// Bytes arrive at one end of a connection.
    Data(Rc<ConnectionEnd>, Vec<u8>),
    EndOfStream(Rc<ConnectionEnd>),
    Reset(Rc<ConnectionEnd>),
    Connect(Rc<RefCell<ConnectAttempt>>),
    /// Index of a fault in the script; for a signal, the gateway that receives it and the event that it is there.
    Fault(usize, Option<(ProcessId, GatewayEvent)>),
}

/// The waker of a task.
struct WakeFlag {
    task: usize,
    /// Whether the task is in the list of ready tasks, so that it enters the list only once.
    queued: AtomicBool,
}

thread_local! {
    /// Tasks to be polled. A thread-local as wakers have to be `Send`; a simulation runs on one thread.
    static READY_TASKS: RefCell<Vec<usize>> = const { RefCell::new(Vec::new()) };
}

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Relaxed) {
            READY_TASKS.with(|ready| ready.borrow_mut().push(self.task));
        }
    }
}

struct TaskEntry {
    process: ProcessId,
    /// None while the task is being polled.
    future: Option<Task>,
    wake_flag: Arc<WakeFlag>,
    waker: Waker,
}

/// State of a process, apart from its tasks.
#[derive(Clone, Default)]
struct ProcessState {
    alive: bool,
    /// Cut off from the network: nothing is delivered from or to it.
    isolated: bool,
    /// Its tasks are not polled; events for it wait.
    suspended: bool,
    /// Ticks by which its wall clock is ahead.
    clock_offset: i64,
    role: Role,
}

/// Faults of one direction between two processes. They apply to whole writes, each of which is taken for one message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// All writes are lost, and connections in either direction are not established.
    pub blocked: bool,
    /// Probability that a write is lost, from 0 to 1.
    pub loss_rate: f64,
    /// Probability that a write arrives twice, from 0 to 1.
    pub duplication_rate: f64,
}

/// A simulated runtime with all its processes.
pub struct Simulation {
    weak_self: Weak<Simulation>,
    /// The instant of tick 0.
    start: Instant,
    now: Cell<Ticks>,
    /// By task number; `None` for a free number.
    tasks: RefCell<Vec<Option<TaskEntry>>>,
    free_task_ids: RefCell<Vec<usize>>,
    processes: RefCell<Vec<ProcessState>>,
    /// The process whose task is polled or dropped at present.
    current_process: Cell<ProcessId>,
    /// Events by the time at which they are due and a sequence number.
    queue: RefCell<BTreeMap<(Ticks, u64), QueuedEvent>>,
    /// Next sequence number of an event or number of a timer.
    next_sequence: Cell<u64>,
    /// How many results `secure_random_u64` has returned.
    secure_numbers_drawn: Cell<u64>,
    /// Keys of the timers' events in the queue, by the number of the timer.
    timers: RefCell<BTreeMap<u64, (Ticks, u64)>>,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<ListenQueue>>>,
    /// Source of all random decisions of a run, seeded once.
    pub rng: RefCell<Rng>,
    /// Shortest and longest latency of one direction.
    latency: (Ticks, Ticks),
    /// Polled tasks and delivered events.
    pub steps: Cell<u64>,
    /// Tasks that panicked.
    pub panics: Cell<u64>,
    pub collisions: RefCell<Collisions>,
    pub digest: RefCell<Xxh3>,
    /// Lines of the trace, `None` unless the run is traced.
    trace: RefCell<Option<Vec<String>>>,
    connection_ends: RefCell<Vec<Weak<ConnectionEnd>>>,
    /// Faults that have fallen due and were not taken yet.
    due_faults: RefCell<Vec<usize>>,
    link_faults: RefCell<BTreeMap<(ProcessId, ProcessId), LinkFaults>>,
    /// Ready tasks of suspended processes.
    suspended_tasks: RefCell<Vec<(ProcessId, usize)>>,
}

impl Simulation {
    /// `start` is the instant at which virtual time starts, `latency` the shortest and longest latency of one
    /// direction.
    pub fn new(seed: u64, start: Instant, latency: (Ticks, Ticks), traced: bool) -> Rc<Simulation> {
        READY_TASKS.with(|ready| ready.borrow_mut().clear());
        Rc::new_cyclic(|weak_self| Simulation {
            weak_self: weak_self.clone(),
            start,
            now: Cell::new(0),
            tasks: RefCell::default(),
            free_task_ids: RefCell::default(),
            processes: RefCell::default(),
            current_process: Cell::new(0),
            queue: RefCell::default(),
            next_sequence: Cell::new(0),
            secure_numbers_drawn: Cell::new(0),
            timers: RefCell::default(),
            listeners: RefCell::default(),
            rng: RefCell::new(Rng::with_seed(seed)),
            latency,
            steps: Cell::new(0),
            panics: Cell::new(0),
            collisions: RefCell::default(),
            digest: RefCell::new(Xxh3::with_seed(seed)),
            trace: RefCell::new(traced.then(Vec::new)),
            connection_ends: RefCell::default(),
            due_faults: RefCell::default(),
            link_faults: RefCell::default(),
            suspended_tasks: RefCell::default(),
        })
    }

    /// Sets the faults of one direction from now on; bytes that are in flight still arrive.
    pub fn set_link_faults(&self, from: ProcessId, to: ProcessId, faults: LinkFaults) {
        if faults == LinkFaults::default() {
            self.link_faults.borrow_mut().remove(&(from, to));
        } else {
            self.link_faults.borrow_mut().insert((from, to), faults);
        }
    }

    fn link_faults(&self, from: ProcessId, to: ProcessId) -> Option<LinkFaults> {
        self.link_faults.borrow().get(&(from, to)).copied()
    }

    /// Suspends a process, or resumes it with all events that came meanwhile.
    pub fn set_suspended(&self, process: ProcessId, suspended: bool) {
        self.processes.borrow_mut()[process].suspended = suspended;
        if !suspended {
            let mut suspended_tasks = self.suspended_tasks.borrow_mut();
            READY_TASKS.with(|ready| {
                let of_process = suspended_tasks.iter().filter(|(p, _)| *p == process);
                ready.borrow_mut().extend(of_process.map(|(_, task)| *task));
            });
            suspended_tasks.retain(|(p, _)| *p != process);
        }
    }

    fn is_suspended(&self, process: ProcessId) -> bool {
        self.processes
            .borrow()
            .get(process)
            .is_some_and(|state| state.suspended)
    }

    /// Virtual time since the start of the run.
    pub fn time(&self) -> Ticks {
        self.now.get()
    }

    /// The instant of a virtual time; negative times give the start.
    pub fn instant_at(&self, at: Ticks) -> Instant {
        self.start + Duration::from_micros(at.max(0) as u64 * 100)
    }

    /// Virtual time of an instant, rounded up to a whole tick.
    fn ticks_since_start(&self, at: Instant) -> Ticks {
        at.saturating_duration_since(self.start)
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

    /// Takes the lines of the trace; empty if the run is not traced, and after the first call.
    pub fn take_trace(&self) -> Vec<String> {
        self.trace.borrow_mut().take().unwrap_or_default()
    }

    /// Adds an event to the queue, at once if its time has passed, and returns its key.
    fn schedule(&self, at: Ticks, event: QueuedEvent) -> (Ticks, u64) {
        let key = (
            at.max(self.time()),
            self.next_sequence.replace(self.next_sequence.get() + 1),
        );
        self.queue.borrow_mut().insert(key, event);
        key
    }

    /// Schedules a fault of the script by its index. `target`: for a signal, the gateway that receives it and the event
    /// that it is there.
    pub fn schedule_fault(
        &self,
        at: Ticks,
        fault: usize,
        target: Option<(ProcessId, GatewayEvent)>,
    ) {
        self.schedule(at, QueuedEvent::Fault(fault, target));
    }

    /// Takes the faults that have fallen due since the last call.
    pub fn take_due_faults(&self) -> Vec<usize> {
        std::mem::take(&mut self.due_faults.borrow_mut())
    }

    /// Starts a process, or starts it again under its old number.
    pub fn start_process(&self, process: ProcessId, role: Role) {
        let mut processes = self.processes.borrow_mut();
        if processes.len() <= process {
            processes.resize(process + 1, ProcessState::default());
        }
        (
            processes[process].alive,
            processes[process].role,
            processes[process].suspended,
        ) = (true, role, false);
    }

    /// Sets by how much a process's wall clock is ahead.
    pub fn set_clock_offset(&self, process: ProcessId, clock_offset: Ticks) {
        self.processes.borrow_mut()[process].clock_offset = clock_offset;
    }

    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.processes
            .borrow()
            .get(process)
            .is_some_and(|state| state.alive)
    }

    fn is_isolated(&self, process: ProcessId) -> bool {
        self.processes
            .borrow()
            .get(process)
            .is_some_and(|state| state.isolated)
    }

    /// Cuts a process off from the network, or connects it again, which resets its open connections.
    pub fn set_isolated(&self, process: ProcessId, isolated: bool) {
        self.processes.borrow_mut()[process].isolated = isolated;
        if !isolated {
            self.connection_ends_of(process)
                .into_iter()
                .for_each(|end| end.abort(self));
        }
    }

    fn connection_ends_of(&self, process: ProcessId) -> Vec<Rc<ConnectionEnd>> {
        let mut connection_ends = self.connection_ends.borrow_mut();
        connection_ends.retain(|end| end.strong_count() > 0);
        connection_ends
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|end| end.process == process)
            .collect()
    }

    /// Kills a process: drops its tasks, resets its connections and closes its listeners.
    pub fn kill(&self, process: ProcessId) {
        self.processes.borrow_mut()[process].alive = false;
        self.suspended_tasks
            .borrow_mut()
            .retain(|(p, _)| *p != process);
        self.listeners
            .borrow_mut()
            .retain(|_, listen_queue| listen_queue.process != process);
        let connection_ends = self.connection_ends_of(process);
        let previous_process = self.current_process.replace(process);
        let task_ids: Vec<usize> = {
            let tasks = self.tasks.borrow();
            let owned_by_process = |(id, task): (usize, &Option<TaskEntry>)| {
                task.as_ref().filter(|t| t.process == process).map(|_| id)
            };
            tasks
                .iter()
                .enumerate()
                .filter_map(owned_by_process)
                .collect()
        };
        for id in task_ids {
            // Dropping a task may call the simulated runtime, so nothing may be borrowed meanwhile.
            let task = self.tasks.borrow_mut()[id].take();
            drop(task);
            self.free_task_ids.borrow_mut().push(id);
        }
        self.current_process.set(previous_process);
        connection_ends.into_iter().for_each(|end| end.abort(self));
    }

    /// Starts a task in a process; a process that is not alive drops it.
    pub fn spawn_in(&self, process: ProcessId, task: Task) {
        if !self.is_alive(process) {
            return;
        }
        let id = self.free_task_ids.borrow_mut().pop().unwrap_or_else(|| {
            self.tasks.borrow_mut().push(None);
            self.tasks.borrow().len() - 1
        });
        let wake_flag = Arc::new(WakeFlag {
            task: id,
            queued: AtomicBool::new(false),
        });
        let waker = Waker::from(wake_flag.clone());
        wake_flag.wake_by_ref();
        self.tasks.borrow_mut()[id] = Some(TaskEntry {
            process,
            future: Some(task),
            wake_flag,
            waker,
        });
    }

    /// Unfinished tasks of a process.
    pub fn task_count(&self, process: ProcessId) -> usize {
        self.tasks
            .borrow()
            .iter()
            .flatten()
            .filter(|t| t.process == process)
            .count()
    }

    /// Opens a listener of a process. It replaces one at the same address.
    pub fn listen(self: &Rc<Self>, process: ProcessId, at: SocketAddr) -> Rc<ListenQueue> {
        let listen_queue = Rc::new(ListenQueue {
            process,
            pending: RefCell::default(),
            waker: RefCell::default(),
        });
        self.listeners.borrow_mut().insert(at, listen_queue.clone());
        listen_queue
    }

    /// Polls one ready task or, if there is none, advances time to the next event.
    ///
    /// Returns false once no task is ready and no event is due up to `end`.
    pub fn step(&self, end: Ticks) -> bool {
        let ready = READY_TASKS.with(|ready| {
            let mut ready = ready.borrow_mut();
            if ready.is_empty() {
                return None;
            }
            let index = if ready.len() == 1 {
                0
            } else {
                self.rng.borrow_mut().usize(..ready.len())
            };
            Some(ready.swap_remove(index))
        });
        if let Some(id) = ready {
            self.poll_task(id);
            return true;
        }
        self.advance_time(end)
    }

    /// Polls a task, unless its process is suspended, and frees it once it has finished or panicked.
    fn poll_task(&self, id: usize) {
        let task = {
            let mut tasks = self.tasks.borrow_mut();
            let Some(Some(task)) = tasks.get_mut(id) else {
                return;
            };
            if self.is_suspended(task.process) {
                return self.suspended_tasks.borrow_mut().push((task.process, id));
            }
            task.wake_flag.queued.store(false, Relaxed);
            let Some(future) = task.future.take() else {
                return;
            };
            (task.process, future, task.waker.clone())
        };
        let (process, mut future, waker) = task;
        self.current_process.set(process);
        self.steps.set(self.steps.get() + 1);
        let result = catch_unwind(AssertUnwindSafe(|| {
            future.as_mut().poll(&mut Context::from_waker(&waker))
        }));
        match result {
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
            self.free_task_ids.borrow_mut().push(id);
        }
    }

    /// Advances time to the next event and delivers all events of that instant in an order that the seed decides.
    ///
    /// Returns false if no event is due up to `end`.
    fn advance_time(&self, end: Ticks) -> bool {
        let Some(at) = self
            .queue
            .borrow()
            .first_key_value()
            .map(|((at, _), _)| *at)
        else {
            return false;
        };
        if at > end {
            return false;
        }
        self.now.set(at);
        let mut batch = Vec::new();
        {
            let mut queue = self.queue.borrow_mut();
            while let Some(entry) = queue.first_entry().filter(|e| e.key().0 == at) {
                batch.push(entry.remove());
            }
        }
        batch.retain(|event| !self.postpone_to_collide(at, event));
        if batch.len() > 1 {
            // Shuffling cannot reorder the bytes of a connection, as no two of its deliveries are due at one instant.
            self.rng.borrow_mut().shuffle(&mut batch);
            let gateway_events: Vec<_> = batch
                .iter()
                .filter_map(|event| self.gateway_event(event))
                .collect();
            let mut collisions = self.collisions.borrow_mut();
            for (nth, (gateway, event)) in gateway_events.iter().enumerate() {
                let before = gateway_events[..nth]
                    .iter()
                    .filter(|(other, first)| other == gateway && first != event);
                before.for_each(|(_, first)| collisions[*first as usize][*event as usize] += 1);
            }
        }
        for event in batch {
            self.deliver(event);
            self.steps.set(self.steps.get() + 1);
        }
        true
    }

    /// The gateway at which an event takes place, and its kind; `None` if that is no gateway.
    fn gateway_event(&self, event: &QueuedEvent) -> Option<(ProcessId, GatewayEvent)> {
        let role =
            |process: ProcessId| self.processes.borrow().get(process).map(|state| state.role);
        let (gateway, gateway_event) = match event {
            QueuedEvent::Timer(_, _, process) => (*process, GatewayEvent::Timer),
            QueuedEvent::Data(end, _) => {
                let gateway_event = match role(end.peer_process)? {
                    Role::Server => GatewayEvent::Reply,
                    Role::Agent => GatewayEvent::EndpointList,
                    _ => GatewayEvent::Request,
                };
                (end.process, gateway_event)
            }
            QueuedEvent::EndOfStream(end) | QueuedEvent::Reset(end) => {
                let gateway_event = match role(end.peer_process)? {
                    Role::Client => GatewayEvent::ClientClosed,
                    _ => GatewayEvent::UpstreamClosed,
                };
                (end.process, gateway_event)
            }
            QueuedEvent::Connect(attempt) => {
                let (from, to) = (attempt.borrow().from, attempt.borrow().to);
                let peer = self
                    .listeners
                    .borrow()
                    .get(&to)
                    .map(|listen_queue| listen_queue.process);
                match peer {
                    Some(peer) if role(peer) == Some(Role::Gateway) => (peer, GatewayEvent::Accept),
                    _ => (from, GatewayEvent::Connected),
                }
            }
            QueuedEvent::Fault(_, target) => (*target)?,
        };
        (role(gateway) == Some(Role::Gateway)).then_some((gateway, gateway_event))
    }

    /// Postpones about half of all signals to the instant of the next accept, request or endpoint list at their gateway
    /// within 100 ms, as signals would rarely collide with other events otherwise. Returns whether it has done so.
    fn postpone_to_collide(&self, at: Ticks, delayed: &QueuedEvent) -> bool {
        let QueuedEvent::Fault(fault, Some(target)) = delayed else {
            return false;
        };
        if self.rng.borrow_mut().bool() {
            return false;
        }
        let next_at = {
            let queue = self.queue.borrow();
            let candidates = queue.range((at + 1, 0)..(at + 1_000, 0));
            let is_candidate = |event| {
                matches!(
                    event,
                    GatewayEvent::Accept | GatewayEvent::Request | GatewayEvent::EndpointList
                )
            };
            candidates.into_iter().find_map(|((then, _), queued)| {
                self.gateway_event(queued)
                    .filter(|(gateway, event)| *gateway == target.0 && is_candidate(*event))
                    .map(|_| *then)
            })
        };
        next_at
            .map(|then| self.schedule(then, QueuedEvent::Fault(*fault, Some(*target))))
            .is_some()
    }

    fn deliver(&self, event: QueuedEvent) {
        match event {
            QueuedEvent::Timer(timer, waker, _) => {
                self.timers.borrow_mut().remove(&timer);
                waker.wake();
            }
            QueuedEvent::Data(end, bytes) => end.receive(self, bytes),
            QueuedEvent::EndOfStream(end) => end.on_stream_end(),
            QueuedEvent::Reset(end) => end.on_reset(),
            QueuedEvent::Connect(attempt) => self.finish_connect(&attempt),
            QueuedEvent::Fault(fault, _) => self.due_faults.borrow_mut().push(fault),
        }
    }

    /// A random latency of one direction.
    fn draw_latency(&self) -> Ticks {
        self.rng.borrow_mut().i64(self.latency.0..=self.latency.1)
    }

    /// Completes a connection attempt: connects it to the listener or refuses it.
    ///
    /// The attempt stays pending if one of both processes is isolated or the link between them is blocked.
    fn finish_connect(&self, attempt: &Rc<RefCell<ConnectAttempt>>) {
        let (from, to) = (attempt.borrow().from, attempt.borrow().to);
        let listen_queue = self.listeners.borrow().get(&to).cloned();
        let outcome = match listen_queue {
            _ if self.is_isolated(from) || !self.is_alive(from) => return,
            Some(listen_queue) if self.is_isolated(listen_queue.process) => return,
            Some(listen_queue) if self.is_blocked_between(from, listen_queue.process) => return,
            Some(listen_queue) if self.is_alive(listen_queue.process) => {
                let (near_end, far_end) = self.open_connection(from, listen_queue.process);
                listen_queue.pending.borrow_mut().push_back(far_end);
                listen_queue
                    .waker
                    .borrow_mut()
                    .take()
                    .into_iter()
                    .for_each(Waker::wake);
                Ok(near_end)
            }
            _ => Err(ErrorKind::ConnectionRefused.into()),
        };
        let mut attempt = attempt.borrow_mut();
        attempt.outcome = Some(outcome);
        attempt.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Whether the link is blocked in at least one direction.
    fn is_blocked_between(&self, first: ProcessId, second: ProcessId) -> bool {
        [(first, second), (second, first)]
            .into_iter()
            .any(|(a, b)| self.link_faults(a, b).is_some_and(|link| link.blocked))
    }

    /// The two ends of a new connection, that of `from` first.
    fn open_connection(
        &self,
        from: ProcessId,
        to: ProcessId,
    ) -> (Rc<ConnectionEnd>, Rc<ConnectionEnd>) {
        let new_end = |process, peer_process| {
            Rc::new(ConnectionEnd {
                sim: self.weak_self.clone(),
                process,
                peer_process,
                peer: RefCell::new(Weak::new()),
                state: RefCell::default(),
            })
        };
        let (near_end, far_end) = (new_end(from, to), new_end(to, from));
        *near_end.peer.borrow_mut() = Rc::downgrade(&far_end);
        *far_end.peer.borrow_mut() = Rc::downgrade(&near_end);
        let mut connection_ends = self.connection_ends.borrow_mut();
        if connection_ends.len() > 256 {
            connection_ends.retain(|end| end.strong_count() > 0);
        }
        connection_ends.extend([Rc::downgrade(&near_end), Rc::downgrade(&far_end)]);
        (near_end, far_end)
    }
}

impl SimulatedRuntime for Simulation {
    fn now(&self) -> Instant {
        self.instant_at(self.time())
    }

    fn unix_time(&self) -> Duration {
        let clock_offset = self
            .processes
            .borrow()
            .get(self.current_process.get())
            .map_or(0, |state| state.clock_offset);
        START_UNIX_TIME + Duration::from_micros((self.time() + clock_offset).max(0) as u64 * 100)
    }

    fn start_timer(&self, at: Instant, waker: &Waker) -> u64 {
        let timer = self.next_sequence.replace(self.next_sequence.get() + 1);
        let key = self.schedule(
            self.ticks_since_start(at),
            QueuedEvent::Timer(timer, waker.clone(), self.current_process.get()),
        );
        self.timers.borrow_mut().insert(timer, key);
        timer
    }

    fn cancel_timer(&self, timer: u64) {
        if let Some(key) = self.timers.borrow_mut().remove(&timer) {
            self.queue.borrow_mut().remove(&key);
        }
    }

    fn spawn(&self, task: Task) {
        self.spawn_in(self.current_process.get(), task);
    }

    fn secure_random_u64(&self) -> u64 {
        // Not drawn from `rng`, so that these numbers do not change what a seed leads to.
        let nth = self
            .secure_numbers_drawn
            .replace(self.secure_numbers_drawn.get() + 1);
        Rng::with_seed(nth).u64(..)
    }

    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let attempt = Rc::new(RefCell::new(ConnectAttempt {
            from: self.current_process.get(),
            to,
            outcome: None,
            waker: None,
        }));
        let at = self.time() + self.draw_latency() + self.draw_latency();
        self.schedule(at, QueuedEvent::Connect(attempt.clone()));
        Box::pin(std::future::poll_fn(move |cx| {
            let mut attempt = attempt.borrow_mut();
            match attempt.outcome.take() {
                Some(outcome) => Poll::Ready(outcome.map(|end| end as Rc<dyn SimulatedConnection>)),
                None => {
                    attempt.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        }))
    }
}

/// A connection attempt on its way.
struct ConnectAttempt {
    from: ProcessId,
    to: SocketAddr,
    outcome: Option<io::Result<Rc<ConnectionEnd>>>,
    waker: Option<Waker>,
}

/// A listener with the connections that were established and not accepted yet.
pub struct ListenQueue {
    process: ProcessId,
    pending: RefCell<VecDeque<Rc<ConnectionEnd>>>,
    waker: RefCell<Option<Waker>>,
}

impl SimulatedListener for ListenQueue {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<Rc<dyn SimulatedConnection>> {
        match self.pending.borrow_mut().pop_front() {
            Some(end) => Poll::Ready(end),
            None => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// One end of a connection. Each direction keeps its bytes in order.
pub struct ConnectionEnd {
    sim: Weak<Simulation>,
    process: ProcessId,
    /// The process of the other end, also after that end was dropped.
    peer_process: ProcessId,
    peer: RefCell<Weak<ConnectionEnd>>,
    state: RefCell<EndState>,
}

#[derive(Default)]
struct EndState {
    /// Bytes that have arrived and were not read yet.
    received: VecDeque<u8>,
    /// The peer has closed its direction: nothing follows after `received`.
    peer_finished: bool,
    is_reset: bool,
    /// Bytes that this end has written and the peer has not read, including those in flight.
    unread_by_peer: usize,
    /// Bytes that this end has written and that have not arrived at the peer.
    in_flight: usize,
    /// When the last write arrives; later writes arrive after that.
    last_arrival: Ticks,
    write_closed: bool,
    /// Closing this end resets the connection.
    reset_on_drop: bool,
    read_waker: Option<Waker>,
    write_waker: Option<Waker>,
}

impl ConnectionEnd {
    fn peer(&self) -> Option<Rc<ConnectionEnd>> {
        self.peer.borrow().upgrade()
    }

    fn wake(&self) {
        let mut state = self.state.borrow_mut();
        let wakers = [state.read_waker.take(), state.write_waker.take()];
        drop(state);
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Whether neither process is isolated.
    fn can_deliver(&self, sim: &Simulation) -> bool {
        let peer = self.peer.borrow().upgrade();
        !sim.is_isolated(self.process) && peer.is_none_or(|peer| !sim.is_isolated(peer.process))
    }

    /// Bytes have arrived. They are lost if the connection was reset or one of its processes is isolated.
    fn receive(&self, sim: &Simulation, bytes: Vec<u8>) {
        let can_deliver = self.can_deliver(sim);
        let mut state = self.state.borrow_mut();
        if let Some(peer) = self.peer() {
            peer.state.borrow_mut().in_flight -= bytes.len();
        }
        if state.is_reset || !can_deliver {
            return;
        }
        state.received.extend(bytes);
        drop(state);
        self.wake();
    }

    fn on_stream_end(&self) {
        self.state.borrow_mut().peer_finished = true;
        self.wake();
    }

    fn on_reset(&self) {
        let mut state = self.state.borrow_mut();
        state.is_reset = true;
        state.received.clear();
        drop(state);
        self.wake();
    }

    /// Resets this end at once, and the peer after the latency of the network.
    fn abort(&self, sim: &Simulation) {
        if let Some(peer) = self.peer() {
            let at = (sim.time() + sim.draw_latency()).max(self.state.borrow().last_arrival + 1);
            sim.schedule(at, QueuedEvent::Reset(peer));
        }
        self.on_reset();
    }
}

impl SimulatedConnection for ConnectionEnd {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        if !state.received.is_empty() || state.peer_finished || state.is_reset {
            return Poll::Ready(());
        }
        state.read_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        let mut state = self.state.borrow_mut();
        if state.is_reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if state.received.is_empty() {
            return if state.peer_finished {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let mut read = 0;
        for slice in to {
            let n = slice.len().min(state.received.len());
            let (front, back) = state.received.as_slices();
            let in_front = n.min(front.len());
            slice[..in_front].copy_from_slice(&front[..in_front]);
            slice[in_front..n].copy_from_slice(&back[..n - in_front]);
            state.received.drain(..n);
            read += n;
        }
        drop(state);
        if let Some(peer) = self.peer() {
            peer.state.borrow_mut().unread_by_peer -= read;
            let write_waker = peer.state.borrow_mut().write_waker.take();
            write_waker.into_iter().for_each(Waker::wake);
        }
        Ok(read)
    }

    fn peer_closed(&self) -> bool {
        let state = self.state.borrow();
        state.peer_finished || state.is_reset
    }

    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        if state.unread_by_peer < CONNECTION_WINDOW_BYTES || state.is_reset {
            return Poll::Ready(());
        }
        state.write_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
        let Some(sim) = self.sim.upgrade() else {
            return Err(ErrorKind::BrokenPipe.into());
        };
        let mut state = self.state.borrow_mut();
        let Some(peer) = self
            .peer()
            .filter(|_| !state.is_reset && !state.write_closed)
        else {
            return Err(ErrorKind::BrokenPipe.into());
        };
        let mut bytes: Vec<u8> = from
            .iter()
            .flat_map(|slice| slice.iter().copied())
            .collect();
        bytes.truncate(CONNECTION_WINDOW_BYTES - state.unread_by_peer.min(CONNECTION_WINDOW_BYTES));
        if bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let length = bytes.len();
        if let Some(faults) = sim.link_faults(self.process, self.peer_process) {
            let mut rng = sim.rng.borrow_mut();
            if faults.blocked || rng.f64() < faults.loss_rate {
                return Ok(length);
            }
            if rng.f64() < faults.duplication_rate {
                bytes.extend_from_within(..);
            }
        }
        let accepted = length;
        let length = bytes.len();
        state.unread_by_peer += length;
        state.in_flight += length;
        // One write in four arrives in two pieces, split anywhere.
        let split = {
            let mut rng = sim.rng.borrow_mut();
            (bytes.len() > 1 && rng.u8(..4) == 0).then(|| rng.usize(1..length))
        };
        let back = split.map(|at| bytes.split_off(at));
        for piece in [Some(bytes), back].into_iter().flatten() {
            let at = (sim.time() + sim.draw_latency()).max(state.last_arrival + 1);
            state.last_arrival = at;
            sim.schedule(at, QueuedEvent::Data(peer.clone(), piece));
        }
        Ok(accepted)
    }

    fn shutdown_write(&self) {
        let Some(sim) = self.sim.upgrade() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        if std::mem::replace(&mut state.write_closed, true) || state.is_reset {
            return;
        }
        if let Some(peer) = self.peer() {
            let at = (sim.time() + sim.draw_latency()).max(state.last_arrival + 1);
            state.last_arrival = at;
            sim.schedule(at, QueuedEvent::EndOfStream(peer));
        }
    }

    fn set_reset_on_drop(&self, reset: bool) {
        self.state.borrow_mut().reset_on_drop = reset;
    }

    fn unacknowledged_bytes(&self) -> usize {
        self.state.borrow().in_flight
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        let Some(sim) = self.sim.upgrade() else {
            return;
        };
        let Some(peer) = self.peer() else { return };
        let state = self.state.get_mut();
        if state.is_reset {
            return;
        }
        // Closing an end with unread bytes resets the connection, as TCP does.
        let at = (sim.time() + sim.draw_latency()).max(state.last_arrival + 1);
        let event = if state.reset_on_drop || !state.received.is_empty() {
            QueuedEvent::Reset(peer)
        } else {
            QueuedEvent::EndOfStream(peer)
        };
        if !state.write_closed || matches!(event, QueuedEvent::Reset(_)) {
            sim.schedule(at, event);
        }
    }
}
