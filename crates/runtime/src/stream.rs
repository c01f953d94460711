//! Owns connections as the code above sees them: tokio's, or a pipe of the world's.
//!
//! It must never buffer a byte of its own.

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

/// How often a connection with something unread is looked at for its end: several times in the tenth of a
/// second after which nothing may go out for a client that has gone.
const LOOK: Duration = Duration::from_millis(20);

/// One end of a connection in a world.
pub trait SimulatedConnection {
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()>;
    fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize>;
    /// Whether the other side has ended or reset it, whatever of it is still unread.
    fn peer_closed(&self) -> bool;
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()>;
    fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Nothing more is written; the other side reads the end behind what stands.
    fn shutdown_write(&self);
    /// What stands on its way is lost, and the other side is reset, when this end is dropped.
    fn reset_on_drop(&self);
    /// Bytes written that have not come to the other side.
    fn unacknowledged_bytes(&self) -> usize;
}

#[derive(Clone)]
pub enum Stream {
    Tcp(Rc<TcpStream>),
    Simulated(Rc<dyn SimulatedConnection>),
}

/// To ask something of a connection for as long as it is there.
#[derive(Clone)]
pub enum WeakStream {
    Tcp(Weak<TcpStream>),
    Simulated(Weak<dyn SimulatedConnection>),
    None,
}

impl Stream {
    /// Connects; `kernel` is what the kernel is asked to keep each way, where that is bounded.
    pub async fn connect(to: SocketAddr, kernel: Option<usize>) -> io::Result<Stream> {
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
        if let Some(bytes) = kernel {
            // Before it connects, as the window is agreed on then.
            socket.set_recv_buffer_size(bytes as u32)?;
            socket.set_send_buffer_size(bytes as u32)?;
        }
        Ok(Stream::from_tcp(socket.connect(to).await?))
    }

    pub fn from_tcp(stream: TcpStream) -> Stream {
        // A command or an answer is written whole at once; waiting for more would only delay it.
        let _ = stream.set_nodelay(true);
        Stream::Tcp(Rc::new(stream))
    }

    pub async fn readable(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.readable().await,
            Stream::Simulated(pipe) => {
                poll_fn(|cx| pipe.poll_readable(cx)).await;
                Ok(())
            }
        }
    }

    pub fn try_read(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.try_read_vectored(to),
            Stream::Simulated(pipe) => pipe.try_read(to),
        }
    }

    /// Reads what has come by now, also where nobody has been told of it yet.
    pub fn read_bypassing_readiness(&self, to: &mut [IoSliceMut<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => (&*SockRef::from(&**stream)).read_vectored(to),
            Stream::Simulated(pipe) => pipe.try_read(to),
        }
    }

    /// Whether the other side has ended or reset it as far as is known here, whatever of it is still unread.
    pub fn peer_closed(&self) -> bool {
        match self {
            Stream::Tcp(stream) => peer_closed(stream),
            Stream::Simulated(pipe) => pipe.peer_closed(),
        }
    }

    /// Waits until the other side has ended or reset it, and leaves unread what it has said.
    pub async fn wait_for_peer_close(&self) {
        while !self.peer_closed() {
            sleep(LOOK).await;
        }
    }

    pub async fn writable(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.writable().await,
            Stream::Simulated(pipe) => {
                poll_fn(|cx| pipe.poll_writable(cx)).await;
                Ok(())
            }
        }
    }

    pub fn try_write(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.try_write_vectored(from),
            Stream::Simulated(pipe) => pipe.try_write(from),
        }
    }

    /// Tells the other side that nothing more comes.
    pub fn shutdown_write(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => SockRef::from(&**stream).shutdown(Shutdown::Write),
            Stream::Simulated(pipe) => {
                pipe.shutdown_write();
                Ok(())
            }
        }
    }

    /// It ends with what waits on it, at once, when it is dropped.
    pub fn reset_on_drop(&self) {
        match self {
            Stream::Tcp(stream) => drop(SockRef::from(&**stream).set_linger(Some(Duration::ZERO))),
            Stream::Simulated(pipe) => pipe.reset_on_drop(),
        }
    }

    pub fn downgrade(&self) -> WeakStream {
        match self {
            Stream::Tcp(stream) => WeakStream::Tcp(Rc::downgrade(stream)),
            Stream::Simulated(pipe) => WeakStream::Simulated(Rc::downgrade(pipe)),
        }
    }
}

impl WeakStream {
    /// Whether the other side has ended or reset it as far as is known here, or it is no more.
    pub fn peer_closed(&self) -> bool {
        match self {
            WeakStream::Tcp(stream) => stream.upgrade().is_none_or(|stream| peer_closed(&stream)),
            WeakStream::Simulated(pipe) => pipe.upgrade().is_none_or(|pipe| pipe.peer_closed()),
            WeakStream::None => false,
        }
    }

    /// Bytes written that the other side has not acknowledged; 0 where that can't be told.
    pub fn unacknowledged_bytes(&self) -> usize {
        match self {
            WeakStream::Tcp(stream) => stream.upgrade().map_or(0, |stream| outstanding(&stream)),
            WeakStream::Simulated(pipe) => {
                pipe.upgrade().map_or(0, |pipe| pipe.unacknowledged_bytes())
            }
            WeakStream::None => 0,
        }
    }
}

/// What the runtime was last told of it: no call to the system.
fn peer_closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}

fn outstanding(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open for as long as its stream is held, and the call writes one int.
    let told = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
    if told == 0 { bytes.max(0) as usize } else { 0 }
}

/// Where connections come in.
pub enum Listener {
    Tcp(TcpListener),
    /// Gives each connection that has come, in their order.
    Simulated(Rc<dyn SimulatedListener>),
}

/// A listener in a world.
pub trait SimulatedListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<Rc<dyn SimulatedConnection>>;
}

impl Listener {
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => Ok(Stream::from_tcp(listener.accept().await?.0)),
            Listener::Simulated(listener) => Ok(Stream::Simulated(
                poll_fn(|cx| listener.poll_accept(cx)).await,
            )),
        }
    }
}
