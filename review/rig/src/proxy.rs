//! A proxy before the store. Open connections can go silent for good, while new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

pub struct Proxy {
    pub addr: SocketAddr,
    /// Number of silences so far. A connection that was opened before one carries nothing.
    silences: AtomicU64,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("it is bound");
        let proxy = Arc::new(Proxy { addr, silences: AtomicU64::new(0) });
        let carrying = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let opened = carrying.silences.load(Ordering::SeqCst);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let proxy = carrying.clone();
                    thread::spawn(move || proxy.carry(from, to, opened));
                }
            }
        });
        proxy
    }

    /// Makes all open connections silent for good.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream, opened: u64) {
        let mut buffer = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            let is_silent = self.silences.load(Ordering::SeqCst) > opened;
            if !is_silent && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        if self.silences.load(Ordering::SeqCst) == opened {
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}
