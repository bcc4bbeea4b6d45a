//! Conversion of events to the format of Chrome's trace viewer.

use ident::{Name, RequestId, Time};
use serde_json::{Value, json};

use crate::{Event, EventKind};

/// Converts merged events to a trace. Each instance becomes a process, each event an instant event,
/// and each request an asynchronous span from its routing to its end.
pub fn trace(events: &[Event]) -> Value {
    let mut instances: Vec<_> = events.iter().map(|e| &e.instance).collect();
    instances.sort();
    instances.dedup();
    let mut out: Vec<_> =
        instances.iter().enumerate().map(|(pid, n)| process_name(pid, n)).collect();
    let mut open: Vec<(RequestId, &Name)> = Vec::new();
    for event in events {
        let pid = instances.binary_search(&&event.instance).expect("collected above");
        out.push(instant_event(pid, event));
        out.extend(span(pid, event, &mut open));
    }
    json!({ "displayTimeUnit": "ms", "traceEvents": out })
}

fn process_name(pid: usize, name: &Name) -> Value {
    json!({ "ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": { "name": name } })
}

fn instant_event(pid: usize, event: &Event) -> Value {
    let args = serde_json::to_value(&event.kind).unwrap_or(Value::Null);
    let name = args.get("kind").cloned().unwrap_or(Value::Null);
    json!({
        "ph": "i", "s": "p", "name": name, "pid": pid, "tid": 0, "ts": micros(event.at),
        "args": { "seq": event.seq, "boot": event.boot, "event": args },
    })
}

/// Returns the begin or end of a request's span, or `None` if the event is neither. `open` holds
/// the spans that have begun and not ended, sorted.
fn span<'a>(pid: usize, event: &'a Event, open: &mut Vec<(RequestId, &'a Name)>) -> Option<Value> {
    let request = event.kind.request()?;
    let at = open.binary_search(&(request, &event.instance));
    let ph = match (&event.kind, at) {
        (EventKind::Routed { .. }, Err(at)) => {
            open.insert(at, (request, &event.instance));
            "b"
        }
        (
            EventKind::Finished { .. } | EventKind::Cancelled { .. } | EventKind::Refused { .. },
            Ok(at),
        ) => {
            open.remove(at);
            "e"
        }
        _ => return None,
    };
    Some(json!({
        "ph": ph, "cat": "request", "name": "request", "id": format!("{request}/{pid}"),
        "pid": pid, "tid": 0, "ts": micros(event.at),
    }))
}

fn micros(at: Time) -> u64 {
    at.0.saturating_mul(1000)
}
