//! A tenant that becomes dedicated, and what was cached of its requests before.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{Client, Outcome, config, events, head, instances, prompt};
use crate::{
    http::Head,
    instance::Plan,
    record::Record,
    replica::{Replica, Reply},
    store::Store,
    wire::*,
};

/// Parts that an engine has: salt and part, with the tenant whose request made it.
type Cache = Arc<Mutex<HashMap<(String, String), String>>>;

/// Names of the request, of its tenant and of the tenant that made a part that it used.
type Uses = Arc<Mutex<Vec<(String, String, String, String)>>>;

fn tenants(dedicated: bool) -> String {
    format!(
        r#"[{{"name":"parish-a","keys":["key-a"],"priority":1,"dedicated":{dedicated}}},{{"name":"parish-b","keys":["key-b"],"priority":1,"dedicated":false}}]"#
    )
}

pub fn play(record: &Arc<Record>, scratch: &PathBuf, trouble: bool) -> Outcome {
    let store = Store::start();
    let routes = [route_json("plan", "streaming", 12_000, "model", 2, true, true)];
    store.put("op", "config", &config(1, &routes, &tenants(false)));
    let (cache, uses): (Cache, Uses) = Default::default();
    let (kept, used, noted) = (cache.clone(), uses.clone(), record.clone());
    let run = Arc::new(move |id: &str, head: &Head, _: &[u8]| {
        let (request, tenant, salt) = (head.get(REQUEST_ID), head.get(TENANT), head.get(SALT));
        noted.line(&format!("{id} runs {request} of {tenant} with the salt {salt:?}"));
        let mut cache = kept.lock().unwrap();
        // A cached part is used if all parts before it are cached too.
        let mut all = true;
        for part in head.get(PREFIX).split(',').filter_map(|w| w.split(':').next()) {
            let name = (salt.to_owned(), part.to_owned());
            match cache.get(&name) {
                Some(maker) if all => {
                    noted.line(&format!(
                        "{request} of {tenant} uses part {part}, made by a request of {maker}"
                    ));
                    let use_ = (request.into(), tenant.into(), maker.clone(), part.into());
                    used.lock().unwrap().push(use_);
                }
                _ => {
                    all = false;
                    cache.insert(name, tenant.into());
                }
            }
        }
        drop(cache);
        Reply::Events(events(8), Duration::from_millis(10))
    });
    let _engine = Replica::start(&store, "e-0", "model", Some("m"), 64, run);
    let plan = Plan { memory_mb: 110, grace_s: 8 };
    let Some(instances) = instances(2, &store, &plan, scratch) else { return Outcome::NotRun };
    let ask = |n: usize, id: &str, key: &str| -> bool {
        let Some(mut client) = Client::connect(instances[n].front) else { return false };
        let first = head("POST", "/plan/1", id, key, 12_000)
            + &prompt(17_000, &format!("cafe:12800,{id}:4200"));
        record.line(&format!("sent {id} with {key}"));
        let answer = client.ask(&first, b"a plan");
        let status = answer.map_or(0, |a| if a.whole { a.status } else { 1 });
        record.line(&format!("answered {id}: {status}"));
        status == 200
    };
    let mut served = ask(0, "a1", "key-a") && ask(1, "a2", "key-a");
    if trouble {
        store.put("op", "config", &config(2, &routes, &tenants(true)));
        record.say("the store acknowledged configuration 2: parish-a is dedicated");
    }
    // Over propagate_ms and contact_ms together.
    thread::sleep(Duration::from_secs(6));
    served &= ask(0, "b1", "key-b") && ask(1, "b2", "key-b") && ask(0, "a3", "key-a");
    if !served {
        return Outcome::NotRun;
    }
    let uses = uses.lock().unwrap();
    let foreign: Vec<_> = uses.iter().filter(|(_, tenant, maker, _)| tenant != maker).collect();
    for (request, tenant, maker, part) in &foreign {
        record
            .say(&format!("{request} of {tenant} used part {part} that a request of {maker} made"));
    }
    // Without the change neither tenant is dedicated, and sharing is right.
    match trouble && !foreign.is_empty() {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
