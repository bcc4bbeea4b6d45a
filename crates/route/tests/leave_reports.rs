//! Reports of a replica that it leaves, and later reports that it does not.

use std::time::Duration;

use ident::{Name, Time};
use route::{Entry, Pool};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn pool() -> Pool {
    let entry = Entry {
        name: name("w1"),
        target: name("writer"),
        zone: name("regina"),
        addr: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
    };
    let mut pool = Pool::default();
    pool.sync_list(vec![entry], Time(0));
    pool
}

fn leaves(pool: &Pool) -> bool {
    pool.find(&name("w1")).unwrap().is_leaving()
}

#[test]
fn a_late_report_does_not_end_leaving() {
    let mut pool = pool();
    let reported = Time(100_000);
    pool.report_leaving(&name("w1"), reported);
    for seconds in [0, 1, 20, 29] {
        pool.report_staying(&name("w1"), reported.after(Duration::from_secs(seconds)));
        assert!(leaves(&pool), "after {seconds} s");
    }
}

#[test]
fn leaving_ends_some_time_after_the_last_report_of_it() {
    let mut pool = pool();
    let reported = Time(100_000);
    pool.report_leaving(&name("w1"), reported);
    pool.report_leaving(&name("w1"), reported.after(Duration::from_secs(20)));
    pool.report_staying(&name("w1"), reported.after(Duration::from_secs(40)));
    assert!(leaves(&pool), "the last report that it leaves is 20 s old");
    pool.report_staying(&name("w1"), reported.after(Duration::from_secs(50)));
    assert!(!leaves(&pool));
}
