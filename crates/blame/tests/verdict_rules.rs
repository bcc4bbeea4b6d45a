//! Which parts are blamed for the ends of replicas, and for how long.

use std::{ops::Range, time::Duration};

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

/// Replicas end one after the other, 100 ms apart, each while a request with these parts is there.
fn end_apart(blame: &mut Blame, replicas: Range<u32>, parts: &[u64]) {
    for (n, replica) in replicas.enumerate() {
        end(blame, replica, parts, 100 * n as u64);
    }
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
    end(&mut blame, 2, &[7], 60);
    // The same incarnation tells nothing new.
    end(&mut blame, 2, &[7], 120);
    assert!(is_free(&mut blame, &[7], 130));
    end(&mut blame, 3, &[7], 140);
    assert!(!is_free(&mut blame, &[7], 150));
    assert!(is_free(&mut blame, &[8], 150));
}

#[test]
fn ends_at_one_moment_count_once() {
    let mut blame = Blame::default();
    end(&mut blame, 1, &[7], 0);
    (2..9).for_each(|n| end(&mut blame, n, &[7], 2000 + u64::from(n)));
    assert!(is_free(&mut blame, &[7], 2020), "a part that was at two losses isn't fatal");
    end(&mut blame, 9, &[7], 2100);
    assert!(!is_free(&mut blame, &[7], 2110));
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
    end_apart(&mut blame, 0..3, &[7]);
    assert!(!is_free(&mut blame, &[7], 210));
    (3..30).for_each(|n| end(&mut blame, n, &[8 + u64::from(n)], 220));
    assert!(is_free(&mut blame, &[7], 230));
}

#[test]
fn a_whole_answer_clears_a_part() {
    let mut blame = Blame::default();
    end_apart(&mut blame, 0..3, &[7]);
    assert!(!is_free(&mut blame, &[7], 210));
    answer(&mut blame, 9, &[7], 220);
    assert!(is_free(&mut blame, &[7], 230));
    (10..15).for_each(|n| end(&mut blame, n, &[7], 300 + 100 * u64::from(n - 10)));
    assert!(is_free(&mut blame, &[7], 710), "a part that was answered needs more evidence");
    end(&mut blame, 15, &[7], 1299);
    assert!(is_free(&mut blame, &[7], 1299), "six replicas may have been lost together");
    end(&mut blame, 16, &[7], 1300);
    assert!(!is_free(&mut blame, &[7], 1300));
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
    end_apart(&mut blame, 0..4, &[2, 3, 7]);
    assert!(!is_free(&mut blame, &[2, 3, 7], 310));
    assert!(is_free(&mut blame, &[2], 310), "it can't be told from 7, so it may be tried alone");
    answer(&mut blame, 20, &[2], 320);
    answer(&mut blame, 20, &[3], 320);
    assert!(is_free(&mut blame, &[2, 3], 330));
    assert!(!is_free(&mut blame, &[7], 330), "7 alone is left");
    // Requests of sound parts that ended with replicas of 7 don't make those fatal.
    end_apart(&mut blame, 0..4, &[4, 5]);
    assert!(is_free(&mut blame, &[4, 5, 6], 350));
}

#[test]
fn trials_are_two() {
    let mut blame = Blame::default();
    end_apart(&mut blame, 0..3, &[7]);
    let admit = |blame: &mut Blame, ms| blame.admit(&[SuspectKey::Part(7)], at(ms));
    let Admission::Barred { until, ends: 3, .. } = admit(&mut blame, 4199) else { panic!() };
    assert_eq!(until, at(4200));
    assert_eq!(
        admit(&mut blame, 4200),
        Admission::Trial { suspect: SuspectKey::Part(7), number: 0 }
    );
    blame.trial_taken(SuspectKey::Part(7), 0);
    end(&mut blame, 4, &[7], 4300);
    assert!(matches!(admit(&mut blame, 60_199), Admission::Barred { ends: 4, .. }));
    assert_eq!(
        admit(&mut blame, 60_200),
        Admission::Trial { suspect: SuspectKey::Part(7), number: 1 }
    );
    blame.trial_taken(SuspectKey::Part(7), 1);
    let Admission::Barred { until, .. } = admit(&mut blame, 70_000) else { panic!() };
    assert_eq!(until, at(4300 + 3_600_000), "an hour after the last end");
    assert!(is_free(&mut blame, &[7], 4300 + 3_600_001));
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
    (500..503).for_each(|n| end(&mut blame, n, &[7 << 40], 300 + 100 * u64::from(n - 500)));
    for space in [0, 1, 30, 200, 900] {
        let report = blame.report(space, at(600));
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
    end_apart(&mut blame, 0..3, &[7]);
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
