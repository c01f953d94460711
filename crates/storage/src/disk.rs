//! The file operations that storage needs, and their implementation on a directory of the operating system.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// A flat set of files with names.
///
/// # Errors
///
/// Every operation returns the error of the disk; none is hidden.
pub trait Disk {
    /// Returns the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Returns the content of a file; one that does not exist is an error of kind [`io::ErrorKind::NotFound`].
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it does not exist. The bytes are durable only after [`Disk::sync`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes all bytes appended to a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames `from` to `to` atomically and durably, replacing the file `to` if it exists.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; one that does not exist is an error of kind [`io::ErrorKind::NotFound`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory that is locked for this process until the value is dropped.
pub struct Directory {
    path: PathBuf,
    /// Name and handle of the file last appended to or synced, kept open.
    open: Option<(String, File)>,
    _lock: File,
}

/// Bytes read from one file at most; what follows is ignored.
const MAX_FILE_LEN: u64 = 1 << 30;
const LOCK_FILE: &str = "lock";

impl Directory {
    /// Opens a directory, which is created if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// The directory can't be created or locked, or another process has locked it.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Directory> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::AlreadyExists, "in use by another process")
            }
            TryLockError::Error(e) => e,
        })?;
        Ok(Directory {
            path,
            open: None,
            _lock: lock,
        })
    }

    /// The file open for appending; created, with its directory entry synced, if it does not exist.
    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let created = !self.path.join(name).exists();
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            if created {
                // Until its directory entry is durable, a crash loses the file with all that was synced to it.
                File::open(&self.path)?.sync_all()?;
            }
            self.open = Some((name.to_owned(), file));
        }
        Ok(&mut self.open.as_mut().expect("opened above").1)
    }
}

impl Disk for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names =
            std::fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        let mut names: Vec<String> = names
            .filter_map(io::Result::transpose)
            .collect::<io::Result<_>>()?;
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut out = Vec::new();
        File::open(self.path.join(name))?
            .take(MAX_FILE_LEN)
            .read_to_end(&mut out)?;
        Ok(out)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        File::open(&self.path)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
}
