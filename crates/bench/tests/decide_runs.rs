//! Runs are repeatable and keep to the bounds.

use bench::{Figures, Options, PolicyKind, Spec, Trace, Workload, bound, compare, run, table};

fn options(workload: Workload, policy: PolicyKind) -> Options {
    Options {
        workload,
        policy,
        secs: 120,
        seed: 1,
        load: 1.0,
        lag: 1,
        limit: 4.0,
        flood: None,
        outage: 0,
        returns: 0,
        links: 1.0,
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    for workload in [Workload::Inkline, Workload::Umthombo] {
        let options = options(workload, PolicyKind::Ours);
        let first = run(&options);
        assert_eq!(first, run(&options));
        assert_ne!(first, run(&Options { seed: 2, ..options }));
    }
}

#[test]
fn no_policy_beats_the_bound() {
    for workload in [Workload::Inkline, Workload::Umthombo] {
        for policy in PolicyKind::ALL {
            let f = run(&options(workload, policy));
            assert!(f.bound <= f.recomputed && f.recomputed <= 1.0, "{f:?}");
            assert!(f.interactive.answered <= f.interactive.offered);
            assert!(f.interactive.answered > 0 && f.batch.answered > 0);
        }
    }
}

#[test]
fn an_outage_is_not_amplified() {
    let base = options(Workload::Inkline, PolicyKind::Ours);
    let f = run(&Options { outage: 20, returns: 3, ..base });
    assert!(f.tries <= 1.1, "{}", f.tries);
}

#[test]
fn without_memory_and_links_all_is_recomputed() {
    let mut spec = Spec::of(Workload::Umthombo).lasting(60);
    spec.memory = 0;
    spec.link = 0;
    let trace = Trace::draw(&spec, 1.0, None, 1);
    assert!((bound(&spec, &trace).share() - 1.0).abs() < 1e-9);
    spec.memory = u64::MAX >> 16;
    assert_eq!(bound(&spec, &trace).share(), 0.0);
}

#[test]
fn figures_are_shown_and_compared() {
    let one = Figures { policy: "a".into(), goodput: 2.0, ..Figures::default() };
    let two = Figures { goodput: 3.0, ..one.clone() };
    assert!(table(std::slice::from_ref(&one)).contains("| a "));
    let json = |f: &Figures| serde_json::to_string(&[f]).unwrap();
    let text = compare(&json(&one), &json(&two)).unwrap();
    let row = text.lines().find(|l| l.contains("goodput")).unwrap();
    assert!(row.contains("1.500"), "{row}");
    let other = Figures { seed: 9, ..one.clone() };
    assert!(compare(&json(&one), &json(&other)).is_err());
}
