//! Takes attempts from the retry budgets, and tells how far these are used.

use std::sync::Arc;

use ident::Time;
use tracing::info;

use crate::{core::Core, job::Job};

/// Counts a request to `target` that was read from its caller.
pub(crate) fn note_request(core: &Core, target: &Arc<str>, job: &Job) {
    core.budgets.lock().record_request(target, job.start);
}

/// Number of instances that share the fixed allowance; `None` until the registry's list was read.
fn known_instances(core: &Core) -> Option<u32> {
    let snapshot = core.view.snapshot();
    (!snapshot.instances.is_empty()).then(|| core.instance_count(&snapshot))
}

/// Takes one retry of the request `id` from the budget of `target`; returns false if none is left.
pub(crate) fn take(core: &Core, target: &Arc<str>, id: &str, now: Time) -> bool {
    let instances = known_instances(core);
    let mut budgets = core.budgets.lock();
    let allowance = budgets.allowance(instances, now);
    let budget = budgets.for_target(target);
    let is_taken = budget.try_retry(allowance, now);
    let denials = budget.take_denials(allowance, now);
    drop(budgets);
    let outcome = if is_taken { "taken" } else { "denied" };
    core.metrics.retries.with_label_values(&[&**target, outcome]).inc();
    if let Some(denials) = denials {
        info!(
            request = id,
            target = &**target,
            denied = denials.count,
            requests = denials.budget.requests,
            retries = denials.budget.retries,
            left = denials.budget.left,
            allowance,
            instances,
            "retry budget used up"
        );
    }
    is_taken
}

/// Sets the gauges of the retry budgets.
pub(crate) fn record(core: &Core) {
    let (instances, now) = (known_instances(core), core.now());
    for (target, used) in core.budgets.lock().used(instances, now) {
        let set = |kind: &str, value: i64| {
            core.metrics.retry_budget.with_label_values(&[&*target, kind]).set(value);
        };
        set("requests", used.requests as i64);
        set("retries", used.retries as i64);
        set("left", used.left as i64);
    }
}
