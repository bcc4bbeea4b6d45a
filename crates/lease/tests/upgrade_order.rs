//! The order in which replicas are upgraded, and the handling of orders without an answer.

use std::sync::Arc;

use ident::Time;
use lease::{ReplicaReport, Upgrade};

type Registered = Vec<(Arc<str>, u64)>;

fn registered(versions: &[u64]) -> Registered {
    versions.iter().enumerate().map(|(n, v)| (format!("r-{n:02}").into(), *v)).collect()
}

fn reading(id: &str, version: u64, orders: u64, busy: bool, asked_at: Time) -> ReplicaReport {
    ReplicaReport { replica: id.into(), version, orders, busy, asked_at }
}

#[test]
fn a_replica_is_read_before_it_is_ordered() {
    let mut upgrade = Upgrade::default();
    let all = registered(&[1, 1, 1, 1]);
    let actions = upgrade.step(2, 0, &all, &[], Time(1000));
    assert_eq!((actions.read.len(), actions.order.len()), (1, 0));
    let fresh = reading("r-00", 1, 5, false, Time(1000));
    let actions = upgrade.step(2, 0, &all, std::slice::from_ref(&fresh), Time(1100));
    assert_eq!(actions.order, vec![fresh]);
}

/// Replicas that already had the previous version were ordered first, and the oldest weights stayed
/// in use longer than allowed.
#[test]
fn the_oldest_weights_go_first() {
    let actions = Upgrade::default().step(3, 0, &registered(&[2, 2, 1, 2]), &[], Time(1000));
    assert_eq!(actions.read, vec![Arc::<str>::from("r-02")]);
}

#[test]
fn a_quarter_loads_at_once() {
    let mut upgrade = Upgrade::default();
    let all = registered(&[1; 12]);
    let actions = upgrade.step(2, 0, &all, &[], Time(1000));
    assert_eq!(actions.read.len(), 3);
    actions.read.iter().for_each(|id| upgrade.record_sent(id, Time(1000)));
    let actions = upgrade.step(2, 0, &all, &[], Time(1100));
    assert_eq!((actions.loading.len(), actions.order.len()), (3, 0));
}

#[test]
fn an_order_without_an_answer_is_repeated_on_a_fresh_reading() {
    let mut upgrade = Upgrade::default();
    let all = registered(&[1]);
    upgrade.record_sent(&"r-00".into(), Time(1000));
    assert!(upgrade.step(2, 0, &all, &[], Time(1200)).order.is_empty(), "it may be under way");
    let late = reading("r-00", 1, 0, false, Time(2600));
    let actions = upgrade.step(2, 0, &all, std::slice::from_ref(&late), Time(2600));
    assert_eq!(actions.order, vec![late], "with the count of orders as it is now");
}

#[test]
fn a_loading_replica_gets_no_order() {
    let mut upgrade = Upgrade::default();
    let all = registered(&[1]);
    let busy = reading("r-00", 1, 1, true, Time(1000));
    let actions = upgrade.step(2, 0, &all, &[busy], Time(1100));
    assert!(actions.order.is_empty());
    assert_eq!(actions.loading.len(), 1);
    let done = reading("r-00", 2, 1, false, Time(2000));
    assert_eq!(upgrade.step(2, 0, &all, &[done], Time(2100)), lease::UpgradeActions::default());
}

#[test]
fn an_older_version_that_comes_back_is_ordered_again() {
    let mut upgrade = Upgrade::default();
    let back = reading("r-00", 1, 2, false, Time(5000));
    let actions = upgrade.step(2, 0, &registered(&[1]), &[back], Time(5000));
    assert_eq!(actions.order.len(), 1, "a late order was carried out, or the replica restarted");
}

/// Replicas whose weights may no longer be used serve nothing. Ordered by quarters only, they came
/// back too late after a holder was lost.
#[test]
fn replicas_that_serve_nothing_do_not_wait_for_a_quarter() {
    let mut upgrade = Upgrade::default();
    let all = registered(&[[1; 9].as_slice(), [2; 3].as_slice()].concat());
    let actions = upgrade.step(3, 2, &all, &[], Time(1000));
    assert_eq!(actions.read.len(), 6, "half of all, as loads slow down");
    assert!(actions.read.iter().all(|id| **id < *"r-09"), "{:?}", actions.read);
    let few = registered(&[[1; 2].as_slice(), [2; 10].as_slice()].concat());
    let actions = Upgrade::default().step(3, 2, &few, &[], Time(1000));
    assert_eq!(actions.read.len(), 3, "of those that serve no more than a quarter together");
}
