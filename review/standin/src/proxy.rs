//! A proxy between one node and the store, which can cut the node off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Size of the pieces in which bytes are passed on.
const PIECE_BYTES: usize = 16 << 10;

#[derive(Clone, Default)]
pub struct Proxy {
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of pieces that the node sent to the store.
    sent: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(address: SocketAddr, store: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self::default();
        let own = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A connection that is dropped here is closed at once.
                if !own.cut.load(Ordering::Relaxed) {
                    let _ = own.connect(stream, store);
                }
            }
        });
        Ok(proxy)
    }

    fn connect(&self, node: TcpStream, store: SocketAddr) -> std::io::Result<()> {
        let store = TcpStream::connect(store)?;
        let mut open = self.open.lock().unwrap();
        open.push(node.try_clone()?);
        open.push(store.try_clone()?);
        let (from_node, to_store) = (node.try_clone()?, store.try_clone()?);
        let sent = Arc::clone(&self.sent);
        std::thread::spawn(move || pass(from_node, to_store, &sent));
        std::thread::spawn(move || pass(store, node, &AtomicU64::new(0)));
        Ok(())
    }

    /// Closes all connections and refuses new ones, or accepts them again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
        if cut {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns how many pieces the node sent to the store so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut piece = [0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut piece) {
        count.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
