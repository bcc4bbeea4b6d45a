//! The way to a replica, which can be cut: new connections get no answer, and open ones carry
//! nothing until it is whole again.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::{AsRawFd, RawFd},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

unsafe extern "C" {
    fn listen(fd: RawFd, backlog: i32) -> i32;
}

pub struct Link {
    pub addr: SocketAddr,
    listener: TcpListener,
    is_cut: AtomicBool,
}

impl Link {
    pub fn start(target: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        listener.set_nonblocking(true).expect("a socket can be set so");
        let addr = listener.local_addr().expect("it is bound");
        let link = Arc::new(Link { addr, listener, is_cut: AtomicBool::new(false) });
        let serving = link.clone();
        thread::spawn(move || serving.serve(target));
        link
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// Cuts the way: the queue of new connections is full, so that an opening packet is dropped.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // A look for a new connection that has begun ends.
        thread::sleep(Duration::from_millis(5));
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..8 {
            // They stay in the queue, and end with the cut.
            if TcpStream::connect_timeout(&self.addr, Duration::from_millis(20)).is_err() {
                break;
            }
        }
    }

    pub fn heal(&self) {
        unsafe { listen(self.listener.as_raw_fd(), 1024) };
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn serve(self: Arc<Self>, target: SocketAddr) {
        loop {
            let accepted = if self.is_cut() { None } else { self.listener.accept().ok() };
            let Some((near, _)) = accepted else {
                thread::sleep(Duration::from_micros(300));
                continue;
            };
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nonblocking(false), near.set_nodelay(true), far.set_nodelay(true));
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let link = self.clone();
                thread::spawn(move || link.carry(from, to));
            }
        }
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16_384];
        loop {
            let read: io::Result<usize> = from.read(&mut buffer);
            while self.is_cut() {
                thread::sleep(Duration::from_millis(1));
            }
            match read {
                Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => {}
                Ok(1..) => break,
                _ => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }
}
