//! A load model of instances with stale knowledge of shared engines.

use std::{sync::Arc, time::Duration};

use admit::{Policy, QueueBounds, Ticket, WaitQueue, Waiting};
use ident::Time;

/// A request class: share of the requests, level, work in ms, goal, deadline, values.
pub type Class = (f64, u8, u64, u64, u64, f64, f64);

/// The classes of deployment A and B, at engines: long and short prompts.
pub const MIXES: [(&str, [Class; 2]); 2] = [
    ("A", [(0.1, 1, 300, 600, 6_000, 12.0, 2.4), (0.9, 0, 40, 300, 4_000, 1.9, 0.38)]),
    ("B", [(0.08, 2, 400, 2_000, 8_000, 3.3, 0.96), (0.92, 0, 40, 500, 4_000, 2.4, 0.2)]),
];
pub const SEEDS: [u64; 4] = [7, 8, 9, 10];
const SLOTS: usize = 24;
const STALE_MS: u64 = 200;
/// Time until an instance whose request was refused tries again.
const RETRY_MS: u64 = 15;
const SPAN_MS: u64 = 8_000;

/// What clients of one class got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub all: f64,
    pub on_time: f64,
    pub late: f64,
    /// Time until a rejected client was told, in ms.
    pub told_ms: f64,
    /// Requests, and served ones, of the largest tenth, the fifth below it, and the smaller team.
    pub groups: [(f64, f64); 3],
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1_u64 << 24) as f64
    }
}

/// Plays a load. An instance knows when its own requests end, and the others' slots as they were a
/// while ago; a start that finds no slot is refused and tried again later.
pub fn play(
    mix: &[Class; 2],
    load: f64,
    instances: usize,
    policy: fn() -> Box<dyn Policy>,
    seed: u64,
) -> [Served; 2] {
    let mut random = Random(seed);
    let bounds = QueueBounds { entries: 1_000, bytes: 1 << 30 };
    let mut queues: Vec<WaitQueue> =
        (0..instances).map(|_| WaitQueue::new(policy(), bounds)).collect();
    let mut waiting: Vec<Vec<(Ticket, usize, Waiting)>> = vec![Vec::new(); instances];
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut paused = vec![0_u64; instances];
    let sheds = policy().sheds();
    let (mut out, mut known) = ([Served::default(); 2], SLOTS);
    let mean: f64 = mix.iter().map(|c| c.0 * c.2 as f64).sum();
    let per_ms = load * SLOTS as f64 / mean;
    for ms in 0..SPAN_MS {
        let now = Time(ms);
        let mut changed: Vec<usize> = Vec::new();
        ends.retain(|(end, at)| {
            changed.extend((*end <= ms).then_some(*at));
            *end > ms
        });
        if ms.is_multiple_of(STALE_MS) {
            known = SLOTS - ends.len();
        }
        let own_ends = changed.clone();
        // The fallback timer.
        changed.extend((0..instances).filter(|at| (ms + *at as u64).is_multiple_of(RETRY_MS)));
        let mut left = per_ms;
        while random.next() < left {
            left -= 1.0;
            let (at, class) = (
                (random.next() * instances as f64) as usize,
                usize::from(random.next() >= mix[0].0),
            );
            let (_, level, work, goal, deadline, ..) = mix[class];
            // The size varies by half around the mean.
            let work = Duration::from_millis((work as f64 * (0.5 + random.next())) as u64);
            let after = |ms| now.after(Duration::from_millis(ms));
            let team: Arc<str> = ["a", "b"][usize::from(random.next() < 0.3)].into();
            let request = Waiting {
                level,
                team,
                arrived: now,
                goal: after(goal),
                deadline: after(deadline),
                free_at: Time::NEVER,
                work,
                is_begun: false,
                bytes: 1,
            };
            out[class].all += 1.0;
            groups(&mix[class], &request).for_each(|at| out[class].groups[at].0 += 1.0);
            if queues[at].check(&request, now).is_err() {
                continue;
            }
            let (ticket, evicted) = queues[at].push(request.clone(), now);
            waiting[at].push((ticket, class, request));
            changed.push(at);
            if let Some(found) = waiting[at].iter().position(|w| Some(w.0) == evicted) {
                let (ticket, class, request) = waiting[at].swap_remove(found);
                assert!(queues[at].remove(ticket), "an evicted request is queued");
                out[class].told_ms += now.since(request.arrived).as_millis() as f64;
            }
        }
        for at in changed {
            let queue = &mut queues[at];
            let hopeless = |w: &mut (Ticket, usize, Waiting)| {
                now > w.2.deadline || (sheds && w.2.is_hopeless(now))
            };
            for (ticket, class, request) in waiting[at].extract_if(.., hopeless).collect::<Vec<_>>()
            {
                assert!(queue.remove(ticket), "a waiting request is queued");
                out[class].told_ms += now.since(request.arrived).as_millis() as f64;
            }
            while paused[at] <= ms
                && (known > 0 || own_ends.contains(&at))
                && let Some(ticket) = queue.next(1, now).pop()
            {
                if ends.len() >= SLOTS {
                    paused[at] = ms + RETRY_MS;
                    break;
                }
                assert!(queue.start(ticket, now), "the next request is queued");
                let found = waiting[at].iter().position(|w| w.0 == ticket).expect("it waits");
                let (_, class, request) = waiting[at].swap_remove(found);
                let end = now.after(request.work);
                ends.push((end.0, at));
                if end <= request.deadline {
                    groups(&mix[class], &request).for_each(|at| out[class].groups[at].1 += 1.0);
                }
                out[class].on_time += f64::from(u8::from(end <= request.goal));
                out[class].late +=
                    f64::from(u8::from(end > request.goal && end <= request.deadline));
            }
        }
    }
    out
}

/// The groups of [`Served::groups`] that a request belongs to.
fn groups(class: &Class, request: &Waiting) -> impl Iterator<Item = usize> {
    let size = request.work.as_millis() as f64 / class.2 as f64;
    let is_in = [size >= 1.4, (1.2..1.4).contains(&size), &*request.team == "b"];
    (0..3).filter(move |at| is_in[*at])
}

pub fn value(mix: &[Class; 2], served: [Served; 2]) -> f64 {
    (0..2).map(|c| served[c].on_time * mix[c].5 + served[c].late * mix[c].6).sum()
}
