//! Ports that can refuse connections, and connections that can be closed or
//! silenced.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// A reserved loopback port.
///
/// A socket that is bound but does not listen reserves the port: while no
/// listener is open, the kernel refuses connections and no other process can
/// bind the port.
#[derive(Debug)]
pub(crate) struct Port {
    _reservation: TcpSocket,
    pub(crate) addr: SocketAddr,
}

impl Port {
    /// Reserves a port and listens on it.
    pub(crate) fn bind() -> io::Result<(Self, TcpListener)> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = socket.local_addr()?;
        let port = Self {
            _reservation: socket,
            addr,
        };
        let listener = port.listen()?;
        Ok((port, listener))
    }

    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.addr)?;
        socket.listen(1024)
    }
}

/// Traffic counters of one source address.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    pub(crate) calls: AtomicU64,
    pub(crate) bytes: AtomicU64,
}

/// State of one accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) peer: SocketAddr,
    pub(crate) local: SocketAddr,
    pub(crate) meter: Arc<Meter>,
    closed: CancellationToken,
    silent: AtomicBool,
}

/// The open connections of a server, and whether it refuses new ones.
#[derive(Debug)]
pub(crate) struct Connections {
    refusing: watch::Sender<bool>,
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    meters: Mutex<BTreeMap<IpAddr, Arc<Meter>>>,
    accepted: AtomicU64,
    cancel: CancellationToken,
}

impl Connections {
    pub(crate) fn new(cancel: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            refusing: watch::Sender::new(false),
            open: Mutex::default(),
            meters: Mutex::default(),
            accepted: AtomicU64::new(0),
            cancel,
        })
    }

    /// Sets whether new connections are refused. Open connections stay open.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.refusing.send_replace(refusing);
    }

    /// Closes all open connections without answering pending requests.
    pub(crate) fn close_all(&self) {
        for connection in self.open.lock().unwrap().values() {
            connection.closed.cancel();
        }
    }

    /// Silences up to `count` open connections, oldest first, and returns how
    /// many.
    pub(crate) fn silence(&self, count: usize) -> usize {
        let open = self.open.lock().unwrap();
        open.values()
            .filter(|connection| !connection.silent.swap(true, Ordering::Relaxed))
            .take(count)
            .count()
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    pub(crate) fn meters(&self) -> BTreeMap<IpAddr, Arc<Meter>> {
        self.meters.lock().unwrap().clone()
    }

    fn add(&self, peer: SocketAddr, local: SocketAddr) -> (u64, Arc<Connection>) {
        let mut meters = self.meters.lock().unwrap();
        let meter = meters.entry(peer.ip()).or_default().clone();
        drop(meters);
        let number = self.accepted.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection {
            peer,
            local,
            meter,
            closed: self.cancel.child_token(),
            silent: AtomicBool::new(false),
        });
        self.open.lock().unwrap().insert(number, connection.clone());
        (number, connection)
    }

    /// Accepts connections on the port of `bound` until cancelled, and serves
    /// each in its own task.
    ///
    /// Closing a connection drops the future that serves it, which stops its
    /// requests.
    pub(crate) async fn accept<S, F>(self: Arc<Self>, bound: (Port, TcpListener), serve: S)
    where
        S: Fn(Stream) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let (port, listener) = bound;
        let mut listener = Some(listener);
        let mut refusing = self.refusing.subscribe();
        loop {
            if *refusing.borrow_and_update() {
                listener = None;
            } else if listener.is_none() {
                listener = Some(port.listen().expect("the port is reserved"));
            }
            loop {
                let accepted = tokio::select! {
                    biased;
                    () = self.cancel.cancelled() => return,
                    _ = refusing.changed() => break,
                    accepted = accept_next(listener.as_ref()) => accepted,
                };
                let Ok((tcp, peer)) = accepted else {
                    continue;
                };
                // With Nagle's algorithm, small answers would wait for delayed
                // acknowledgements.
                let _ = tcp.set_nodelay(true);
                let (number, connection) = self.add(peer, port.addr);
                // `close_all` may have run before this connection was added.
                if *self.refusing.borrow() {
                    connection.closed.cancel();
                }
                let serving = serve(Stream {
                    tcp,
                    connection: connection.clone(),
                });
                let connections = self.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = connection.closed.cancelled() => (),
                        () = serving => (),
                    }
                    connections.open.lock().unwrap().remove(&number);
                });
            }
        }
    }
}

async fn accept_next(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// A TCP stream that counts the bytes written and can be silenced.
///
/// A silenced stream stays open and neither reads nor writes again.
#[derive(Debug)]
pub(crate) struct Stream {
    tcp: TcpStream,
    pub(crate) connection: Arc<Connection>,
}

impl Stream {
    fn silent(&self) -> bool {
        self.connection.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // No waker is registered: a silenced stream never reads again, and
        // closing the connection drops the stream.
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Pending;
        }
        let written = ready!(Pin::new(&mut self.tcp).poll_write(cx, bytes))?;
        let meter = &self.connection.meter;
        meter.bytes.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
