//! CPU time and memory as the kernel counts them.

use std::{fs, sync::mpsc, thread};

/// CPU time of this thread so far, in microseconds.
pub fn thread_micros() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux has schedstat");
    let first = text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
    first.expect("schedstat begins with nanoseconds") / 1000.0
}

/// CPU time that `f` takes, in microseconds.
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

/// Growth of resident memory while `f` runs, in bytes. It includes memory that `f` freed again and
/// the allocator kept. `f` runs in a thread of its own that never ends, so that memory freed before
/// is not reused, which would not be counted.
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
    receive.recv().expect("the thread sends its reading")
}
