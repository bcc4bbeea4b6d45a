//! Starts the project's own instances as processes among stand-ins of the platform, and plays one
//! case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod instance;
mod proxy;
mod json;
mod kept;
mod link;
mod record;
mod replica;
mod store;
mod wire {
    #![allow(dead_code)]
    include!("wire.in");
}

/// Longest time that a case may take, in seconds.
const LONGEST_S: u64 = 118;

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // Instances end with this process, whatever its end is; see `Instance::run`.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(LONGEST_S));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let folder = std::path::Path::new(&folder);
    let played = std::panic::catch_unwind(|| cases::play(&case, folder, trouble));
    std::process::exit(played.unwrap_or(2));
}
