//! TCP proxies by which a test partitions the network.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A TCP proxy to one address. While it is partitioned, it forwards nothing and closes new connections at
/// once.
#[derive(Clone)]
pub struct Link {
    /// Where the proxy listens.
    pub address: SocketAddr,
    partitioned: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a proxy to this address, not partitioned.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the proxy listens");
        let link = Link {
            address: listener.local_addr().expect("the proxy has an address"),
            partitioned: Arc::default(),
            open_streams: Arc::default(),
        };
        let proxy = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if proxy.partitioned.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                for (source, sink) in [(&client, &server), (&server, &client)] {
                    let (Ok(mut source), Ok(mut sink), Ok(kept)) =
                        (source.try_clone(), sink.try_clone(), source.try_clone())
                    else {
                        continue;
                    };
                    proxy
                        .open_streams
                        .lock()
                        .expect("the lock of the streams")
                        .push(kept);
                    std::thread::spawn(move || {
                        let _ = std::io::copy(&mut source, &mut sink);
                        let _ = sink.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        link
    }

    /// Closes all open connections, and each new one at once, until `heal` is called.
    pub fn partition(&self) {
        self.partitioned.store(true, Ordering::SeqCst);
        for stream in self
            .open_streams
            .lock()
            .expect("the lock of the streams")
            .drain(..)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts and forwards connections again.
    pub fn heal(&self) {
        self.partitioned.store(false, Ordering::SeqCst);
    }
}
