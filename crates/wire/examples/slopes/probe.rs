//! Readings of the kernel's accounts.

use std::{fs, sync::mpsc, thread};

/// Processor time of this thread so far, in microseconds.
pub fn thread_micros() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux has schedstat");
    let first = text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
    first.expect("schedstat begins with nanoseconds") / 1000.0
}

/// Processor time of `f`, in microseconds.
pub fn micros<T, F>(f: F) -> f64
where
    F: FnOnce() -> T,
{
    let start = thread_micros();
    std::hint::black_box(f());
    thread_micros() - start
}

/// Resident memory of the process, in bytes.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("Linux has /proc");
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.expect("VmRSS in kB") * 1024.0
}

/// Resident bytes that what `f` makes takes, with what making it left behind. It is made in a
/// thread that never ends, so that no memory freed before is counted for nothing.
pub fn bytes<T, F>(f: F) -> f64
where
    T: 'static,
    F: FnOnce() -> T + Send + 'static,
{
    let (send, receive) = mpsc::channel();
    thread::spawn(move || {
        let start = resident();
        let kept = f();
        send.send(resident() - start).expect("the caller waits");
        loop {
            thread::park();
            std::hint::black_box(&kept);
        }
    });
    receive.recv().expect("the thread measures")
}
