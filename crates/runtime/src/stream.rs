//! Connections and listeners: tokio's TCP sockets, or those of a simulated runtime.
//!
//! # Invariants
//!
//! Nothing is buffered here: bytes stay in the socket until they are read, and a write takes only what the socket
//! takes.

use std::future::{Future, poll_fn};
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{simulated_runtime, sleep};

/// How often a connection is checked for being closed by the peer while received bytes stay unread.
///
/// No request may be sent on behalf of a client that closed its connection more than 100 ms ago, so this is a
/// fraction of that time.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One end of a connection in a simulated runtime.
pub trait SimulatedConnection {
    /// Waits until there are bytes to read, or the peer has closed or reset the connection.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Reads what has been received; 0 after the peer's close.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if nothing has been received, [`io::ErrorKind::ConnectionReset`] after a reset.
    fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize>;
    /// Returns whether the peer has closed or reset the connection, even if received bytes are still unread.
    fn peer_closed(&self) -> bool;
    /// Waits until bytes can be written, or the connection has been reset.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Writes as many bytes as the connection's window takes, and returns their number.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if the window is full, [`io::ErrorKind::BrokenPipe`] if nothing can be written
    /// any more.
    fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Closes the direction of writing; the peer reads the end after all bytes written before.
    fn shutdown_write(&self);
    /// Sets whether a drop of this end discards the bytes in transit and resets the connection.
    fn set_reset_on_drop(&self, reset: bool);
    /// Returns how many of the bytes written have not reached the peer yet.
    fn unacknowledged_bytes(&self) -> usize;
}

/// A connection; clones share it.
#[derive(Clone)]
pub enum Stream {
    /// A TCP connection of tokio's.
    Tcp(Rc<TcpStream>),
    /// A connection in a simulated runtime.
    Simulated(Rc<dyn SimulatedConnection>),
}

/// A weak reference to a connection, for querying its state without keeping it open.
#[derive(Clone)]
pub enum WeakStream {
    /// A TCP connection of tokio's.
    Tcp(Weak<TcpStream>),
    /// A connection in a simulated runtime.
    Simulated(Weak<dyn SimulatedConnection>),
    /// No connection; it counts as open, with nothing unacknowledged.
    None,
}

impl Stream {
    /// Connects to `to`. `kernel_buffer_bytes` limits the kernel's send and receive buffers, each; `None` leaves the
    /// system's defaults. A simulated connection ignores it.
    pub async fn connect(to: SocketAddr, kernel_buffer_bytes: Option<usize>) -> io::Result<Stream> {
        if let Some(runtime) = simulated_runtime() {
            let connecting = runtime.connect(to);
            drop(runtime);
            return Ok(Stream::Simulated(connecting.await?));
        }
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(bytes) = kernel_buffer_bytes {
            // Set before the connect, as the handshake negotiates the window scale.
            socket.set_recv_buffer_size(bytes as u32)?;
            socket.set_send_buffer_size(bytes as u32)?;
        }
        Ok(Stream::from_tcp(socket.connect(to).await?))
    }

    /// Wraps an established TCP connection, and disables Nagle's algorithm on it.
    pub fn from_tcp(stream: TcpStream) -> Stream {
        // Requests and responses are written whole, so Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        Stream::Tcp(Rc::new(stream))
    }

    /// Waits until there may be bytes to read, or the peer has closed or reset the connection.
    pub async fn readable(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.readable().await,
            Stream::Simulated(end) => {
                poll_fn(|cx| end.poll_readable(cx)).await;
                Ok(())
            }
        }
    }

    /// Reads without waiting; 0 after the peer's close.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if the runtime knows of nothing to read. Bytes that have arrived since it last
    /// polled the socket don't count, see [`Stream::read_bypassing_readiness`].
    pub fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.try_read_vectored(to),
            Stream::Simulated(end) => end.try_read(to),
        }
    }

    /// Reads from the socket without waiting, also bytes of whose arrival the runtime has not been notified yet.
    pub fn read_bypassing_readiness(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => (&*SockRef::from(&**stream)).read_vectored(to),
            Stream::Simulated(end) => end.try_read(to),
        }
    }

    /// Returns whether the peer has closed or reset the connection, as far as the kernel has received it, even if
    /// received bytes are still unread.
    pub fn peer_closed(&self) -> bool {
        match self {
            Stream::Tcp(stream) => peer_closed(stream),
            Stream::Simulated(end) => end.peer_closed(),
        }
    }

    /// Waits until the peer has closed or reset the connection, and leaves received bytes unread.
    pub async fn wait_for_peer_close(&self) {
        while !self.peer_closed() {
            sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// Waits until bytes can be written, or the connection has failed.
    pub async fn writable(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.writable().await,
            Stream::Simulated(end) => {
                poll_fn(|cx| end.poll_writable(cx)).await;
                Ok(())
            }
        }
    }

    /// Writes without waiting as many bytes as the send buffer takes, and returns their number.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if it takes none.
    pub fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.try_write_vectored(from),
            Stream::Simulated(end) => end.try_write(from),
        }
    }

    /// Closes the direction of writing; the peer reads the end after all bytes written before.
    pub fn shutdown_write(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => SockRef::from(&**stream).shutdown(Shutdown::Write),
            Stream::Simulated(end) => {
                end.shutdown_write();
                Ok(())
            }
        }
    }

    /// Sets whether the drop of the connection, or the end of the process, discards unsent bytes and resets it instead of
    /// closing it in order.
    pub fn set_reset_on_drop(&self, reset: bool) {
        match self {
            Stream::Tcp(stream) => {
                let linger = reset.then_some(Duration::ZERO);
                // A socket that can't be set any more has failed, so nothing is sent on it.
                let _ = SockRef::from(&**stream).set_linger(linger);
            }
            Stream::Simulated(end) => end.set_reset_on_drop(reset),
        }
    }

    /// Returns how many of the bytes written the peer has not acknowledged; 0 if that is unknown.
    pub fn unacknowledged_bytes(&self) -> usize {
        match self {
            Stream::Tcp(stream) => send_queue_bytes(stream),
            Stream::Simulated(end) => end.unacknowledged_bytes(),
        }
    }

    /// Returns a weak reference to the connection.
    pub fn downgrade(&self) -> WeakStream {
        match self {
            Stream::Tcp(stream) => WeakStream::Tcp(Rc::downgrade(stream)),
            Stream::Simulated(end) => WeakStream::Simulated(Rc::downgrade(end)),
        }
    }
}

impl WeakStream {
    /// Returns whether the peer has closed or reset the connection, as far as the kernel has received it, or the
    /// connection has been dropped.
    pub fn peer_closed(&self) -> bool {
        match self {
            WeakStream::Tcp(stream) => stream.upgrade().is_none_or(|stream| peer_closed(&stream)),
            WeakStream::Simulated(end) => end.upgrade().is_none_or(|end| end.peer_closed()),
            WeakStream::None => false,
        }
    }

    /// Returns how many of the bytes written the peer has not acknowledged; 0 if that is unknown.
    pub fn unacknowledged_bytes(&self) -> usize {
        match self {
            WeakStream::Tcp(stream) => stream
                .upgrade()
                .map_or(0, |stream| send_queue_bytes(&stream)),
            WeakStream::Simulated(end) => end.upgrade().map_or(0, |end| end.unacknowledged_bytes()),
            WeakStream::None => 0,
        }
    }
}

/// Returns whether the peer has closed or reset the connection, as far as the kernel has received it.
fn peer_closed(stream: &TcpStream) -> bool {
    runtime_reports_close(stream) || kernel_reports_close(stream)
}

/// Returns whether the runtime's last readiness event reported the read side closed; makes no system call.
fn runtime_reports_close(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}

/// Returns whether the kernel has received the peer's close or a reset; `false` if the query fails.
///
/// The runtime learns of a close when it next polls all sockets. Until then a task may already act on another socket
/// whose input it has read directly.
fn kernel_reports_close(stream: &TcpStream) -> bool {
    let mut query = libc::pollfd {
        fd: stream.as_raw_fd(),
        events: libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: the borrowed stream keeps the descriptor open, and the call gets one entry. With a timeout of 0 it does
    // not wait.
    let answered = unsafe { libc::poll(&mut query, 1, 0) };
    answered == 1 && query.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// Returns the size of the kernel's send queue, which holds unsent and unacknowledged bytes; 0 if the query fails.
fn send_queue_bytes(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the borrowed stream keeps the descriptor open, and TIOCOUTQ writes one int.
    let status = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
    if status == 0 {
        bytes.max(0) as usize
    } else {
        0
    }
}

/// A socket that accepts connections.
pub enum Listener {
    /// A TCP listener of tokio's.
    Tcp(TcpListener),
    /// A listener in a simulated runtime.
    Simulated(Rc<dyn SimulatedListener>),
}

/// A listener in a simulated runtime.
pub trait SimulatedListener {
    /// Waits for the next connection; connections are accepted in the order of their arrival.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<Rc<dyn SimulatedConnection>>;
}

impl Listener {
    /// Waits for the next connection and accepts it.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => Ok(Stream::from_tcp(listener.accept().await?.0)),
            Listener::Simulated(listener) => Ok(Stream::Simulated(
                poll_fn(|cx| listener.poll_accept(cx)).await,
            )),
        }
    }
}
