//! Which parts are blamed for the ends of replicas, and for how long.

use std::time::Duration;

use blame::{Admission, Blame, EndId, Report, ReportWire, SuspectKey};
use ident::Time;

const START: Time = Time(1_000_000);

fn at(ms: u64) -> Time {
    Time(START.0 + ms)
}

/// A replica ends while a request with these parts is there.
fn end(blame: &mut Blame, replica: u32, parts: &[u64], ms: u64) {
    let parts = parts.iter().map(|n| SuspectKey::Part(*n)).collect();
    let flight = blame.begin(EndId(replica), parts, at(ms));
    blame.lost(flight, false, at(ms));
    blame.replica_ended(EndId(replica), false, at(ms));
}

fn answer(blame: &mut Blame, replica: u32, parts: &[u64], ms: u64) {
    let parts = parts.iter().map(|n| SuspectKey::Part(*n)).collect();
    let flight = blame.begin(EndId(replica), parts, at(ms));
    blame.answered(flight, at(ms));
}

fn is_free(blame: &mut Blame, parts: &[u64], ms: u64) -> bool {
    let parts: Vec<SuspectKey> = parts.iter().map(|n| SuspectKey::Part(*n)).collect();
    blame.admit(&parts, at(ms)) == Admission::Free
}

#[test]
fn three_replicas_make_a_part_fatal() {
    let mut blame = Blame::default();
    end(&mut blame, 1, &[7], 0);
    end(&mut blame, 2, &[7], 10);
    // The same incarnation tells nothing new.
    end(&mut blame, 2, &[7], 20);
    assert!(is_free(&mut blame, &[7], 30));
    end(&mut blame, 3, &[7], 40);
    assert!(!is_free(&mut blame, &[7], 50));
    assert!(is_free(&mut blame, &[8], 50));
}

#[test]
fn a_broken_connection_of_a_running_replica_blames_nothing() {
    let mut blame = Blame::default();
    for n in 0..20 {
        let flight = blame.begin(EndId(n), [SuspectKey::Part(7)].into(), at(0));
        blame.lost(flight, false, at(1));
        assert!(!blame.alive(EndId(n), at(2), at(3)));
        // The replica ends later, without the request's fault.
        blame.replica_ended(EndId(n), false, at(4));
    }
    assert!(is_free(&mut blame, &[7], 10));
}

#[test]
fn the_loss_of_many_replicas_at_once_blames_no_part() {
    let mut blame = Blame::default();
    for n in 0..30 {
        end(&mut blame, n, &[u64::from(n % 6), 100 + u64::from(n)], u64::from(n));
    }
    assert!((0..6).all(|part| is_free(&mut blame, &[part], 100)));
    // A verdict that was reached early is taken back.
    let mut blame = Blame::default();
    (0..3).for_each(|n| end(&mut blame, n, &[7], 0));
    assert!(!is_free(&mut blame, &[7], 10));
    (3..30).for_each(|n| end(&mut blame, n, &[8 + u64::from(n)], 20));
    assert!(is_free(&mut blame, &[7], 30));
}

#[test]
fn a_whole_answer_clears_a_part() {
    let mut blame = Blame::default();
    (0..3).for_each(|n| end(&mut blame, n, &[7], u64::from(n)));
    assert!(!is_free(&mut blame, &[7], 10));
    answer(&mut blame, 9, &[7], 20);
    assert!(is_free(&mut blame, &[7], 30));
    (10..15).for_each(|n| end(&mut blame, n, &[7], 30));
    assert!(is_free(&mut blame, &[7], 40), "a part that was answered needs more evidence");
    end(&mut blame, 15, &[7], 1029);
    assert!(is_free(&mut blame, &[7], 1029), "six replicas may have been lost together");
    end(&mut blame, 16, &[7], 1030);
    assert!(!is_free(&mut blame, &[7], 1030));
}

#[test]
fn an_unframed_answer_counts_once_its_replica_has_outlived_it() {
    let mut blame = Blame::default();
    let flight = blame.begin(EndId(1), [SuspectKey::Part(7)].into(), at(0));
    blame.lost(flight, true, at(10));
    assert!(!blame.parts_answered(&[SuspectKey::Part(7)]));
    let earlier = blame.begin(EndId(1), [SuspectKey::Part(8)].into(), at(5));
    blame.begun(earlier, at(11));
    assert!(!blame.parts_answered(&[SuspectKey::Part(7)]), "it was sent before the other's end");
    let later = blame.begin(EndId(1), [SuspectKey::Part(8)].into(), at(11));
    blame.begun(later, at(12));
    assert!(blame.parts_answered(&[SuspectKey::Part(7)]));
}

#[test]
fn sound_parts_beside_a_fatal_one_stay_free() {
    let mut blame = Blame::default();
    // Part 2 comes with the fatal part 7 each time; so did part 3, and it was lost once without.
    (0..4).for_each(|n| end(&mut blame, n, &[2, 3, 7], u64::from(n)));
    assert!(!is_free(&mut blame, &[2, 3, 7], 10));
    assert!(is_free(&mut blame, &[2], 10), "it can't be told from 7, so it may be tried alone");
    answer(&mut blame, 20, &[2], 20);
    answer(&mut blame, 20, &[3], 20);
    assert!(is_free(&mut blame, &[2, 3], 30));
    assert!(!is_free(&mut blame, &[7], 30), "7 alone is left");
    // Requests of sound parts that ended with replicas of 7 don't make those fatal.
    (0..4).for_each(|n| end(&mut blame, n, &[4, 5], 40));
    assert!(is_free(&mut blame, &[4, 5, 6], 50));
}

#[test]
fn trials_are_two() {
    let mut blame = Blame::default();
    (0..3).for_each(|n| end(&mut blame, n, &[7], 0));
    let admit = |blame: &mut Blame, ms| blame.admit(&[SuspectKey::Part(7)], at(ms));
    let Admission::Barred { until, ends: 3, .. } = admit(&mut blame, 3999) else { panic!() };
    assert_eq!(until, at(4000));
    assert_eq!(
        admit(&mut blame, 4000),
        Admission::Trial { suspect: SuspectKey::Part(7), number: 0 }
    );
    blame.trial_taken(SuspectKey::Part(7), 0);
    end(&mut blame, 4, &[7], 4100);
    assert!(matches!(admit(&mut blame, 59_999), Admission::Barred { ends: 4, .. }));
    assert_eq!(
        admit(&mut blame, 60_000),
        Admission::Trial { suspect: SuspectKey::Part(7), number: 1 }
    );
    blame.trial_taken(SuspectKey::Part(7), 1);
    let Admission::Barred { until, .. } = admit(&mut blame, 70_000) else { panic!() };
    assert_eq!(until, at(4100 + 3_600_000), "an hour after the last end");
    assert!(is_free(&mut blame, &[7], 4100 + 3_600_001));
}

#[test]
fn reports_merge_in_any_order_and_twice() {
    let mut sources = [Blame::default(), Blame::default(), Blame::default()];
    for (n, source) in sources.iter_mut().enumerate() {
        end(source, n as u32, &[7, 8], n as u64 * 100);
    }
    let reports: Vec<Report> = sources.iter_mut().map(|s| s.report(usize::MAX, at(500))).collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        let mut blame = Blame::default();
        for n in order {
            assert!(blame.merge(&reports[n], at(500)));
            assert!(!blame.merge(&reports[n], at(520)), "nothing is new the second time");
        }
        assert!(!is_free(&mut blame, &[7, 8], 530), "{order:?}");
        let fatal = blame.fatal(at(530));
        assert_eq!((fatal.len(), fatal[0].ends), (1, 3));
        assert_eq!(fatal[0].since, at(200), "the age comes along");
    }
}

/// Peers repeat what they know in every datagram.
#[test]
fn a_known_report_is_not_judged_again() {
    let (mut peer, mut blame) = (Blame::default(), Blame::default());
    (0..3).for_each(|n| end(&mut peer, n, &[7], 500 * u64::from(n)));
    let report = peer.report(usize::MAX, at(2000));
    blame.merge(&report, at(2010));
    let verdict = blame.fatal(at(2020));
    assert_eq!(verdict.len(), 1);
    blame.merge(&report, at(2015));
    assert!(std::sync::Arc::ptr_eq(&verdict, &blame.fatal(at(2030))));
}

#[test]
fn requests_at_a_replica_that_a_peer_saw_end_are_evidence() {
    let mut peer = Blame::default();
    end(&mut peer, 1, &[8], 0);
    let report = peer.report(usize::MAX, at(5));
    let mut blame = Blame::default();
    let flight = blame.begin(EndId(1), [SuspectKey::Part(7)].into(), at(0));
    blame.lost(flight, true, at(1));
    assert!(blame.merge(&report, at(10)));
    let known = blame.report(usize::MAX, at(20)).suspects;
    assert!(known.iter().any(|s| s.key == SuspectKey::Part(7) && s.ends.len() == 1));
}

#[test]
fn a_report_takes_no_more_space_than_it_is_given() {
    let mut blame = Blame::default();
    for n in 0..200 {
        end(&mut blame, n, &[u64::from(n) << 40], u64::from(n));
    }
    (500..503).for_each(|n| end(&mut blame, n, &[7 << 40], 300));
    for space in [0, 1, 30, 200, 900] {
        let report = blame.report(space, at(400));
        let ReportWire { parts, requests, ended } = (&report).into();
        let bytes =
            postcard::to_stdvec(&(parts, requests, ended)).expect("it can be encoded").len();
        // Three empty lists take three bytes.
        assert!(bytes <= space.max(3), "{bytes} bytes for {space}");
        if space >= 200 {
            assert_eq!(
                report.suspects[0].key,
                SuspectKey::Part(7 << 40),
                "the fatal part comes first"
            );
        }
    }
}

#[test]
fn suspects_are_bounded_and_dropped() {
    let mut blame = Blame::default();
    (0..3).for_each(|n| end(&mut blame, n, &[7], 0));
    for n in 0..5000 {
        end(&mut blame, 100 + n, &[u64::from(n) << 20], 2000);
    }
    assert!(!is_free(&mut blame, &[7], 2010), "a fatal part is not pushed out");
    assert!(blame.report(usize::MAX, at(2020)).suspects.len() <= 256);
    let later = at(2020).after(Duration::from_secs(601));
    blame.fatal(later);
    assert_eq!(
        blame.report(usize::MAX, later).suspects.len(),
        1,
        "the fatal part stays for an hour"
    );
}
