//! Owns a lease on a file: whoever opens it waits until the lease is given up.
//!
//! It must never touch what the file holds.

use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::WAIT_LIMIT;

pub struct FileLease {
    file: File,
}

fn set(file: &File, kind: libc::c_int) {
    // SAFETY: the descriptor is open for as long as the file is held, and the call takes a plain number.
    let set = unsafe { libc::fcntl(file.as_raw_fd(), libc::F_SETLEASE, kind) };
    assert_eq!(set, 0, "{}", std::io::Error::last_os_error());
}

impl FileLease {
    /// On a file that nobody has open.
    pub fn acquire(path: &Path) -> FileLease {
        // SAFETY: no handler is installed; the signal that says that a lease is waited for is passed over.
        unsafe { libc::signal(libc::SIGIO, libc::SIG_IGN) };
        let file = File::options().read(true).write(true).open(path).unwrap();
        set(&file, libc::F_WRLCK);
        FileLease { file }
    }

    /// Waits until somebody wants to open the file.
    pub fn wait_for_open(&self) {
        let began = Instant::now();
        // SAFETY: as above; the call only reads.
        while unsafe { libc::fcntl(self.file.as_raw_fd(), libc::F_GETLEASE) } == libc::F_WRLCK {
            assert!(began.elapsed() < WAIT_LIMIT, "nobody opens it");
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn release(self) {
        set(&self.file, libc::F_UNLCK);
    }
}
