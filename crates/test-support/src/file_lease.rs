//! A Linux write lease on a file (`F_SETLEASE`), with which a test blocks a process that opens the file until the lease
//! is released. The file's contents are not touched.

use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::WAIT_LIMIT;

/// A write lease: another process that opens the file blocks in `open` until [`FileLease::release`].
pub struct FileLease {
    file: File,
}

fn set_lease(file: &File, kind: libc::c_int) {
    // SAFETY: the descriptor is open as long as `file` is borrowed, and the call takes an integer argument.
    let result = unsafe { libc::fcntl(file.as_raw_fd(), libc::F_SETLEASE, kind) };
    assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
}

impl FileLease {
    /// Takes a write lease on a file that no process has open; panics where the kernel refuses it.
    pub fn acquire(path: &Path) -> FileLease {
        // SAFETY: no handler is installed; SIGIO, which announces that a process waits for the lease, is ignored.
        unsafe { libc::signal(libc::SIGIO, libc::SIG_IGN) };
        let file = File::options().read(true).write(true).open(path).unwrap();
        set_lease(&file, libc::F_WRLCK);
        FileLease { file }
    }

    /// Waits until a process tries to open the file; panics after [`WAIT_LIMIT`].
    pub fn wait_for_open(&self) {
        let started = Instant::now();
        // SAFETY: as above; the call only reads.
        while unsafe { libc::fcntl(self.file.as_raw_fd(), libc::F_GETLEASE) } == libc::F_WRLCK {
            assert!(started.elapsed() < WAIT_LIMIT, "no process opened the file");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Gives the lease up, which lets the process that waits in `open` continue.
    pub fn release(self) {
        set_lease(&self.file, libc::F_UNLCK);
    }
}
