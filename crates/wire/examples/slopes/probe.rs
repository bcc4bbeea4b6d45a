//! Readings of the kernel's accounts.

use std::fs;

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

/// Resident bytes that what `f` makes takes. It is never freed, so that no later reading gets its
/// memory for nothing.
pub fn bytes<T, F>(f: F) -> f64
where
    F: FnOnce() -> T,
{
    let start = resident();
    std::mem::forget(f());
    resident() - start
}
