//! All places of an instance for callers' connections are taken by idle ones that their clients
//! keep, and some clients come at once.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    sync::{
        Barrier, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Instance, Record, Replica, config, lookup},
    standins::{Store, read_answer},
};

/// `contact_ms` of the small deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// Time between two of the clients that come after the burst.
const SPACING: Duration = Duration::from_millis(30);
/// Clients that keep their connection.
const KEPT: usize = 960;
/// How many of them come at the rate of the sheet: 395.5 requests a second at 6 machines. The others
/// come in two bursts of 3 s, with 1.7 times that rate.
const BEFORE_BURSTS: usize = 290;
/// Time between two clients at the rate of the sheet, and in a burst.
const SPACINGS: [Duration; 2] = [Duration::from_micros(15_170), Duration::from_micros(8_924)];
/// Clients that try a new connection.
const TRYING: usize = 10;
/// When other clients try new connections, from the first client of the burst on.
const AFTER: Duration = Duration::from_millis(500);
/// Clients of the burst, which ask for a stream each.
const STREAMS: usize = 12;

/// Lets the next client come when it is dropped.
struct Next<'t>(&'t AtomicUsize);

impl Drop for Next<'_> {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn connect(instance: &Instance, limit: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&instance.front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Connections to a listener that the kernel has set up and the process has not accepted.
fn untaken(listener: SocketAddr) -> Option<usize> {
    let table = std::fs::read_to_string("/proc/self/net/tcp").ok()?;
    let port = format!(":{:04X}", listener.port());
    let line = table.lines().find(|line| {
        let mut words = line.split_whitespace().skip(1);
        words.next().is_some_and(|local| local.ends_with(&port)) && words.nth(1) == Some("0A")
    })?;
    let (_, queue) = line.split_whitespace().nth(4)?.split_once(':')?;
    usize::from_str_radix(queue, 16).ok()
}

/// One lookup on a connection; whether it was answered with success.
fn ask(stream: &TcpStream, id: &str) -> bool {
    let mut out = stream;
    if out.write_all(lookup(id).as_bytes()).is_err() {
        return false;
    }
    let Ok(reading) = stream.try_clone() else { return false };
    read_answer(&mut BufReader::new(reading)).is_some_and(|a| a.status == 200 && a.whole)
}

pub fn run(record: &Record, folder: &PathBuf, trouble: bool) -> Outcome {
    let (store, addr) = Store::start();
    let replica = |id: &str, service: &str| Replica {
        id: id.into(),
        service: service.into(),
        events: 35,
        pause: Duration::from_millis(300),
        work: Duration::from_millis(5),
    };
    for id in ["app-1", "app-2"] {
        replica(id, "app").start(&store, record);
    }
    for id in ["llm-1", "llm-2"] {
        replica(id, "llm").start(&store, record);
    }
    store.put("op", "config", &config(1));
    let instance = Instance::start("front-gp-north-1", addr, folder);
    if !instance.wait_ready() {
        return Outcome::CouldNotRun("the instance did not get ready".into());
    }
    std::thread::sleep(Duration::from_millis(500));

    // Sound clients: each asks once and keeps its connection for the next request.
    let mut kept = Vec::new();
    let begun = Instant::now();
    for client in 0..KEPT {
        let calm = client.min(BEFORE_BURSTS) as u32;
        let due = SPACINGS[0] * calm + SPACINGS[1] * (client as u32 - calm);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        let Some(stream) = connect(&instance, Duration::from_secs(2)) else {
            return Outcome::CouldNotRun("no connection".into());
        };
        let answered = ask(&stream, &format!("kept-{client}"));
        if !answered {
            return Outcome::CouldNotRun(format!("kept client {client} got no answer"));
        }
        kept.push(stream);
    }
    record.note(&format!("{KEPT} clients have asked and keep their connections"));
    let closed = |stream: &&TcpStream| {
        let _ = stream.set_nonblocking(true);
        let ended = matches!(stream.peek(&mut [0]), Ok(0));
        let _ = stream.set_nonblocking(false);
        ended
    };
    let open: Vec<&TcpStream> = kept.iter().filter(|s| !closed(s)).collect();
    record.note(&format!("{} of these connections are open", open.len()));

    // Whether the instance says that it is ready, once in 200 ms.
    let over = AtomicBool::new(false);
    let mut unready = 0;
    // When a client got an answer on a new connection.
    let served: Mutex<Vec<Instant>> = Mutex::default();
    let tried = Mutex::new(0_usize);
    let streams = Mutex::new(0_usize);
    let barrier = Barrier::new(STREAMS + 1);
    let turn = AtomicUsize::new(0);
    let (mut from, mut end) = (Instant::now(), Instant::now());
    std::thread::scope(|scope| {
        for at in 0..STREAMS {
            let (instance, barrier, streams, turn) = (&instance, &barrier, &streams, &turn);
            scope.spawn(move || {
                let id = format!("stream-{at}");
                barrier.wait();
                // Without the burst, each comes once the one before it is being answered.
                while !trouble && turn.load(Ordering::Relaxed) != at {
                    std::thread::sleep(Duration::from_millis(1));
                }
                let next = Next(turn);
                // A client leaves a stream after four times its objective without an event.
                let Some(stream) = connect(instance, Duration::from_secs(4)) else {
                    return record.note(&format!("{id}: no connection"));
                };
                let mut out = &stream;
                if out.write_all(crate::deployment::stream(&id).as_bytes()).is_err() {
                    return record.note(&format!("{id}: the connection is closed"));
                }
                let heard = stream.peek(&mut [0]).is_ok();
                drop(next);
                let answer = heard.then(|| read_answer(&mut BufReader::new(stream))).flatten();
                let text = match answer {
                    Some(a) => {
                        *streams.lock().unwrap() += 1;
                        format!("answered {}, whole {}, {} bytes", a.status, a.whole, a.body.len())
                    }
                    None => "no answer".into(),
                };
                record.note(&format!("{id}: {text}"));
            });
        }
        for client in 0..TRYING {
            let (instance, over, served, tried) = (&instance, &over, &served, &tried);
            scope.spawn(move || {
                // They come once the burst is over, one after the other.
                std::thread::sleep(AFTER + SPACING * client as u32);
                let mut attempt = 0;
                while !over.load(Ordering::Relaxed) {
                    attempt += 1;
                    let id = format!("new-{client}-{attempt}");
                    *tried.lock().unwrap() += 1;
                    // A client gives a lookup up that is not read within a second.
                    let answered = connect(instance, Duration::from_secs(1))
                        .is_some_and(|stream| ask(&stream, &id));
                    if answered {
                        served.lock().unwrap().push(Instant::now());
                    }
                    record.note(&format!("{id}: new connection, answered {answered}"));
                    std::thread::sleep(SPACING * TRYING as u32);
                }
            });
        }
        barrier.wait();
        from = Instant::now();
        record.note(match trouble {
            true => "clients come at once",
            false => "the same clients come one after the other",
        });
        while from.elapsed() < Duration::from_millis(9000) {
            std::thread::sleep(Duration::from_millis(200));
            unready += usize::from(!instance.is_ready());
            if let Some(waiting) = untaken(instance.front) {
                record.note(&format!(
                    "{waiting} connections that the kernel has set up are not taken"
                ));
            }
        }
        end = Instant::now();
        over.store(true, Ordering::Relaxed);
    });
    record.note(&format!("{} of {STREAMS} streams were answered", streams.lock().unwrap()));
    let from = from + AFTER;
    // The longest span without a client that was served on a new connection.
    let mut times: Vec<Instant> =
        served.lock().unwrap().iter().filter(|t| **t > from && **t < end).copied().collect();
    times.sort();
    times.insert(0, from);
    times.push(end);
    let longest = times.windows(2).map(|w| w[1] - w[0]).max().unwrap_or_default();
    let text = format!(
        "{TRYING} clients tried {} new connections; the longest span without one that was \
         served is {:.2} s; the instance was unready at {unready} of its checks",
        tried.lock().unwrap(),
        longest.as_secs_f64()
    );
    record.note(&text);
    match longest >= CONTACT && unready == 0 {
        true => Outcome::Broken(text),
        false => Outcome::Held,
    }
}
