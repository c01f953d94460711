//! Child processes that end with the process that started them, however that ends: a test that is killed, or that fails
//! while a thread of it holds a child, leaves no gateway behind that would call the addresses of later tests.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::{self, Sender};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;

/// Held while a child process is spawned, and while a socket is open that no child may inherit: between fork and exec a
/// child has a copy of each descriptor of all threads, so a port that was probed a moment ago would still be listened on.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Keeps other threads from spawning child processes until the guard is dropped.
pub(crate) fn lock_spawning() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A command to spawn, and where to send its child process.
type SpawnRequest = (Command, Sender<io::Result<Child>>);

/// The queue of the thread that spawns all children.
///
/// The kernel ends a child with the thread that has forked it, and the thread of a test ends before its process does.
static SPAWNER: OnceLock<Mutex<Sender<SpawnRequest>>> = OnceLock::new();

fn start_spawner() -> Mutex<Sender<SpawnRequest>> {
    let (requests, received) = mpsc::channel::<SpawnRequest>();
    thread::spawn(move || {
        for (mut command, reply) in received {
            end_with_parent(&mut command);
            let child = {
                let _guard = lock_spawning();
                command.spawn()
            };
            // The receiver waits for this reply.
            let _ = reply.send(child);
        }
    });
    Mutex::new(requests)
}

/// Has the kernel kill the child once the spawning thread has ended, which it does with its process.
fn end_with_parent(command: &mut Command) {
    let parent = std::process::id();
    let register = move || {
        // SAFETY: both calls are async-signal-safe and take integer arguments alone.
        let (status, current_parent) = unsafe {
            (
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL),
                libc::getppid(),
            )
        };
        if status != 0 {
            return Err(io::Error::last_os_error());
        }
        // The parent may have ended before the call above.
        if current_parent.cast_unsigned() != parent {
            return Err(io::ErrorKind::NotConnected.into());
        }
        Ok(())
    };
    // SAFETY: between fork and exec the closure makes two system calls and allocates nothing.
    unsafe { command.pre_exec(register) };
}

/// Starts a child process; its exec has completed once this returns. The command is used up.
///
/// The child is killed when this process ends.
pub fn spawn_process(command: &mut Command) -> Child {
    let command = std::mem::replace(command, Command::new("false"));
    let (reply, spawned) = mpsc::channel();
    let requests = SPAWNER.get_or_init(start_spawner);
    requests
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .send((command, reply))
        .expect("the spawning thread runs as long as the process");
    spawned.recv().unwrap().unwrap()
}

/// Runs a process until it exits and returns its exit status, stdout and stderr.
pub fn output(command: &mut Command) -> Output {
    spawn_process(
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped()),
    )
    .wait_with_output()
    .unwrap()
}
