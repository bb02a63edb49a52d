//! Network paths that a test can partition.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A network path to one address that can be partitioned: open connections then end, new ones are
/// refused.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    partitioned: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// A link to this address, open.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a link listens");
        let link = Link {
            address: listener.local_addr().expect("its address"),
            partitioned: Arc::default(),
            open: Arc::default(),
        };
        let accepting = link.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if accepting.partitioned.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(to) = TcpStream::connect(target) else {
                    continue;
                };
                for (a, b) in [(&from, &to), (&to, &from)] {
                    let (Ok(mut a), Ok(mut b), Ok(kept)) =
                        (a.try_clone(), b.try_clone(), a.try_clone())
                    else {
                        continue;
                    };
                    accepting.open.lock().expect("the link").push(kept);
                    std::thread::spawn(move || {
                        let _ = std::io::copy(&mut a, &mut b);
                        let _ = b.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        link
    }

    /// Ends all open connections, and refuses new ones until `heal`.
    pub fn partition(&self) {
        self.partitioned.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("the link").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.partitioned.store(false, Ordering::SeqCst);
    }
}
