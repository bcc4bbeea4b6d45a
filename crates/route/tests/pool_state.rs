//! Replicas are listed, leave, fail and recover.

use std::time::Duration;

use ident::{Class, Name, Time};
use route::{
    Averages, Cost, CostWeights, End, Entry, LeastLoaded, Links, Load, Policy, Pool, Reason,
    RouteError, RoutingRequest,
};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn entry(i: u16, leaving: bool) -> Entry {
    Entry {
        name: name(&format!("w-{i}")),
        target: name("writer"),
        zone: name("regina"),
        addr: ([127, 0, 0, 1], 7000 + i).into(),
        leaving,
    }
}

fn pool(count: u16) -> Pool {
    let mut pool = Pool::default();
    pool.sync_list((0..count).map(|i| entry(i, false)).collect(), Time(0));
    for i in 0..count {
        pool.set_weights(&name(&format!("w-{i}")), Some(name("v1")));
    }
    pool
}

fn averages(others: f64) -> Averages {
    Averages { tokens: 1000, others, interactive: 0.5 }
}

fn request<'a>(targets: &'a [Name], weights: &'a Name, class: Class) -> RoutingRequest<'a> {
    RoutingRequest {
        targets,
        weights,
        tokens: 1000,
        pieces: 4,
        stored: None,
        hot: None,
        class,
        value: CostWeights { latency: 1, recompute: 0 },
        zone: &targets[0],
        deadline: Time::NEVER,
        tried: &[],
    }
}

fn chosen(
    pool: &Pool,
    class: Class,
    random_bits: u64,
    now: Time,
) -> Result<(Name, bool), RouteError> {
    let (targets, weights) = ([name("writer")], name("v1"));
    let request = request(&targets, &weights, class);
    let choice = Cost.choose(pool, &Links::default(), &request, random_bits, now)?;
    Ok((choice.replica, choice.probe))
}

#[test]
fn leaving_replicas_get_no_requests() {
    let mut pool = pool(3);
    let ticket = pool.start(&name("w-0"), 1000, Class::Batch, Time(1)).unwrap();
    pool.report_leaving(&name("w-0"), Time(2));
    pool.withdraw(&[name("w-1")]);
    pool.sync_list(vec![entry(0, false), entry(1, false), entry(2, true)], Time(3));
    for random_bits in 0..50_u64 {
        let no_route =
            chosen(&pool, Class::Batch, random_bits << 33 | random_bits, Time(4)).unwrap_err();
        assert_eq!(no_route.reason, Reason::NoReplica);
        assert!(no_route.retry_at > Time(4));
    }
    assert_eq!(pool.start(&name("w-0"), 1000, Class::Batch, Time(5)), None);
    pool.sync_list(vec![entry(1, false)], Time(6));
    assert_eq!(pool.replicas().len(), 2, "w-0 still runs a request");
    pool.end(ticket, End::Done, Time(7));
    assert_eq!(pool.replicas().len(), 1);
    pool.withdraw(&[]);
    assert_eq!(chosen(&pool, Class::Batch, 9, Time(8)).unwrap().0, name("w-1"));
}

#[test]
fn withdrawn_replicas_get_no_requests_after_they_are_listed_again() {
    let mut pool = pool(2);
    pool.withdraw(&[name("w-1"), name("w-0")]);
    pool.sync_list(vec![entry(1, false)], Time(1));
    pool.sync_list(vec![entry(0, false), entry(1, false)], Time(2));
    pool.set_weights(&name("w-0"), Some(name("v1")));
    assert!(pool.replicas().iter().all(|r| r.is_leaving()));
    assert_eq!(chosen(&pool, Class::Batch, 1, Time(3)).unwrap_err().reason, Reason::NoReplica);
}

#[test]
fn an_empty_list_is_ignored() {
    let mut pool = pool(2);
    pool.sync_list(Vec::new(), Time(1));
    assert_eq!(pool.replicas().len(), 2);
}

#[test]
fn other_versions_are_not_chosen() {
    let mut pool = pool(2);
    pool.set_weights(&name("w-0"), Some(name("v2")));
    for random_bits in 0..50 {
        assert_eq!(chosen(&pool, Class::Interactive, random_bits, Time(1)).unwrap().0, name("w-1"));
    }
    pool.set_weights(&name("w-1"), None);
    let no_route = chosen(&pool, Class::Interactive, 1, Time(1)).unwrap_err();
    assert_eq!(no_route.reason, Reason::WrongWeights);
}

#[test]
fn a_failure_leads_to_a_probe_and_a_failed_probe_to_a_cooldown() {
    let mut pool = pool(1);
    let w = name("w-0");
    let first = pool.start(&w, 10, Class::Batch, Time(1)).unwrap();
    let second = pool.start(&w, 10, Class::Batch, Time(1)).unwrap();
    pool.end(first, End::Failed, Time(2));
    pool.end(second, End::Failed, Time(2));
    assert_eq!(chosen(&pool, Class::Interactive, 1, Time(3)), Ok((w.clone(), true)));
    let probe = pool.start(&w, 10, Class::Batch, Time(3)).unwrap();
    assert!(probe.probe);
    assert_eq!(
        chosen(&pool, Class::Interactive, 1, Time(3)).unwrap_err().reason,
        Reason::Suspect,
        "a probe is in flight already"
    );
    pool.end(probe, End::Failed, Time(4));
    assert!(chosen(&pool, Class::Interactive, 1, Time(900)).is_err());
    let probe = pool.start(&w, 10, Class::Batch, Time(1100)).unwrap();
    pool.first_token(&probe, Time(1200));
    assert_eq!(chosen(&pool, Class::Interactive, 1, Time(1200)), Ok((w, false)));
    pool.end(probe, End::Done, Time(1300));
}

#[test]
fn full_replicas_are_excluded_for_a_cooldown() {
    let mut pool = pool(1);
    let ticket = pool.start(&name("w-0"), 10, Class::Batch, Time(1)).unwrap();
    pool.end(ticket, End::Full, Time(2));
    assert_eq!(chosen(&pool, Class::Batch, 1, Time(3)).unwrap_err().reason, Reason::Full);
    assert!(chosen(&pool, Class::Batch, 1, Time(300)).is_ok());
}

#[test]
fn own_requests_count_before_the_next_load_report() {
    let mut pool = pool(2);
    let load = Load { running: 0, waiting: 0, prefill_rate: 1000, measured_at: Time(0) };
    pool.report(&name("w-0"), load, Time(0));
    pool.report(&name("w-1"), Load { waiting: 1, ..load }, Time(0));
    let mut tickets = Vec::new();
    for _ in 0..4 {
        tickets.push(pool.start(&name("w-0"), 1000, Class::Batch, Time(10)).unwrap());
    }
    let queue = |pool: &Pool, i: usize, now| {
        pool.replicas()[i].queue(Class::Batch, &averages(i as f64), now)
    };
    assert_eq!(queue(&pool, 0, Time(10)), Duration::from_secs(4));
    assert_eq!(queue(&pool, 1, Time(10)), Duration::from_secs(1));
    assert_eq!(queue(&pool, 0, Time(1010)), Duration::from_secs(3));
    pool.first_token(&tickets[0], Time(2010));
    assert_eq!(
        queue(&pool, 0, Time(2010)),
        Duration::from_secs(3),
        "the first token came 1 s later than expected"
    );
    let (targets, weights) = ([name("writer")], name("v1"));
    let request = request(&targets, &weights, Class::Batch);
    let choice = LeastLoaded.choose(&pool, &Links::default(), &request, 3, Time(2010)).unwrap();
    assert_eq!(choice.replica, name("w-1"));
}

#[test]
fn old_load_reports_tend_to_the_average() {
    let mut pool = pool(1);
    let load = Load { running: 0, waiting: 4, prefill_rate: 1000, measured_at: Time(0) };
    pool.report(&name("w-0"), load, Time(0));
    let queue = |now| pool.replicas()[0].queue(Class::Batch, &averages(2.0), Time(now)).as_millis();
    assert_eq!(queue(0), 4000);
    assert!((2300..3700).contains(&queue(2_000)), "{}", queue(2_000));
    assert!((2000..2010).contains(&queue(20_000)));
}

#[test]
fn interactive_prompts_do_not_wait_for_batch_prompts() {
    let mut pool = pool(1);
    let load = Load { running: 0, waiting: 0, prefill_rate: 1000, measured_at: Time(0) };
    pool.report(&name("w-0"), load, Time(0));
    let batch = pool.start(&name("w-0"), 3000, Class::Batch, Time(1)).unwrap();
    let urgent = pool.start(&name("w-0"), 1000, Class::Interactive, Time(1)).unwrap();
    let queue = |pool: &Pool, class| pool.replicas()[0].queue(class, &averages(0.0), Time(1));
    assert_eq!(queue(&pool, Class::Interactive), Duration::from_secs(1));
    assert_eq!(queue(&pool, Class::Batch), Duration::from_secs(4));
    pool.end(urgent, End::Done, Time(1));
    assert_eq!(queue(&pool, Class::Interactive), Duration::ZERO);
    assert_eq!(queue(&pool, Class::Batch), Duration::from_secs(3));
    pool.first_token(&batch, Time(1));
    assert_eq!(queue(&pool, Class::Batch), Duration::ZERO);
    pool.end(batch, End::Done, Time(2));
}

#[test]
fn headroom_counts_only_replicas_that_accept_requests() {
    let mut pool = pool(3);
    for i in 0..3 {
        let load = Load { running: 0, waiting: 0, prefill_rate: 1000, measured_at: Time(0) };
        pool.report(&name(&format!("w-{i}")), load, Time(0));
    }
    let (writer, other) = ([name("writer")], [name("other")]);
    let limit = Duration::from_secs(2);
    assert_eq!(
        (pool.prefill_rate(&writer, Time(0)), pool.headroom_tokens(&writer, limit, Time(0))),
        (3000, 6000)
    );
    assert_eq!(
        (pool.prefill_rate(&other, Time(0)), pool.headroom_tokens(&other, limit, Time(0))),
        (0, 0)
    );
    let ticket = pool.start(&name("w-0"), 5000, Class::Batch, Time(0)).unwrap();
    assert_eq!(
        pool.headroom_tokens(&writer, limit, Time(0)),
        1000,
        "the long queue of one replica reduces the headroom of the others"
    );
    pool.withdraw(&[name("w-0")]);
    assert_eq!(
        (pool.prefill_rate(&writer, Time(0)), pool.headroom_tokens(&writer, limit, Time(0))),
        (2000, 4000)
    );
    pool.end(ticket, End::Done, Time(1));
}

#[test]
fn random_operations_keep_the_invariants() {
    bolero::check!().with_iterations(400).with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut pool = pool(3);
        let mut open = Vec::new();
        let mut now = Time(0);
        for &(op, arg) in steps {
            now = now.after(Duration::from_millis(u64::from(arg) * 7));
            let w = name(&format!("w-{}", arg % 4));
            match op % 8 {
                0 | 1 => open.extend(pool.start(&w, u32::from(arg) * 50, Class::Batch, now)),
                2 if !open.is_empty() => {
                    pool.first_token(&open[usize::from(arg) % open.len()], now)
                }
                3 if !open.is_empty() => {
                    let end = [End::Done, End::Failed, End::Full, End::RefusedOther];
                    let ticket = open.swap_remove(usize::from(arg) % open.len());
                    pool.end(ticket, end[usize::from(op / 8 % 4)], now);
                }
                4 => {
                    pool.sync_list((0..u16::from(arg % 5)).map(|i| entry(i, false)).collect(), now)
                }
                5 => pool.report_leaving(&w, now),
                6 => pool.withdraw(&[w]),
                _ => pool.set_weights(&w, Some(name("v1"))),
            }
            if let Ok((got, _)) = chosen(&pool, Class::Batch, u64::from(arg) << 17, now) {
                let replica = pool.find(&got).unwrap();
                assert!(!replica.is_leaving());
                assert_eq!(replica.weights, Some(name("v1")));
            }
            assert!(pool.replicas().is_sorted_by(|a, b| a.name < b.name));
        }
    });
}
