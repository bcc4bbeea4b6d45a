//! Measures what decisions about fatal parts and requests cost with as many suspects as are kept.

use std::{hint::black_box, time::Instant};

use blame::{Blame, EndId, SuspectKey, Suspects};
use ident::{Digest, Time};

const NOW: Time = Time(1_000_000);
const ROUNDS: u32 = 20_000;

fn measure<F>(name: &str, mut step: F)
where
    F: FnMut(),
{
    let begin = Instant::now();
    (0..ROUNDS).for_each(|_| step());
    println!("{name}: {} ns", begin.elapsed().as_nanos() / u128::from(ROUNDS));
}

fn request(n: u32) -> SuspectKey {
    SuspectKey::Request(Digest::of(&n.to_be_bytes()))
}

fn end(blame: &mut Blame, replica: u32, suspects: Suspects, at: Time) {
    let flight = blame.begin(EndId(replica), suspects, at);
    blame.lost(flight, false, at);
    blame.replica_ended(EndId(replica), false, at);
}

fn main() {
    for bytes in [800, 34_000] {
        let body = vec![7; bytes];
        measure(&format!("digest of a request with {bytes} bytes"), || {
            black_box(Digest::of_parts(&[b"host", b"POST", b"/path/x", b"team", &body]));
        });
    }
    let parts = [97, 98, 99].map(SuspectKey::Part);
    let sound: Suspects = parts.into_iter().chain([request(7)]).collect();
    let mut empty = Blame::default();
    measure("admission without suspects", || {
        black_box(empty.admit(&sound, NOW));
    });
    let mut blame = Blame::default();
    (0..3).for_each(|n| end(&mut blame, n, [SuspectKey::Part(7)].into(), Time(0)));
    for n in 0..256 {
        let requests = (0..4).map(|at| request(4 * n + at));
        let part = SuspectKey::Part(u64::from(n) << 30);
        end(&mut blame, 1000 + n, [part].into_iter().chain(requests).collect(), NOW);
    }
    let report = blame.report(600, NOW);
    println!("suspects in 600 bytes: {}", report.suspects.len());
    measure("admission with 256 parts and 1024 requests", || {
        black_box(blame.admit(&sound, NOW));
    });
    measure("merge of a report of 600 bytes", || {
        black_box(blame.merge(&report, NOW));
    });
    measure("report of 600 bytes", || {
        black_box(blame.report(600, NOW));
    });
    measure("an attempt from its start to its whole answer", || {
        let flight = blame.begin(EndId(1), sound.clone(), NOW);
        blame.begun(flight, NOW);
        black_box(blame.answered(flight, NOW));
    });
    let mut next = 10_000;
    measure("an end that changes the verdict, and the next admission", || {
        next += 1;
        end(&mut blame, next, [SuspectKey::Part(7)].into(), NOW);
        black_box(blame.admit(&sound, NOW));
    });
}
