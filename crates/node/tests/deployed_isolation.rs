//! Isolation of teams and organisations: no team can use another one's stream handles, outcomes,
//! idempotency keys, models, targets or cache. The tests read the logs of the engines and
//! services to check this.

use std::{sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use bytes::Bytes;
use hyper::Method;
use rig::{
    Answer, CallError, Completion, Deployment, Entry, Ran, Reply, STATE_LIMIT, Spec, wait_for,
};
use serde_json::{Value, json};

/// Teams, each with the model and an engine of its organisation.
const TEAMS: [(&str, &str, &str); 4] = [
    ("weddings", "writer", "inkline-writer-1"),
    ("fairs", "writer", "inkline-writer-1"),
    ("parish-east", "assistant", "umthombo-assistant-1"),
    ("parish-west", "assistant", "umthombo-assistant-1"),
];
/// Longest time from a configuration change until all instances apply it.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(12);
const BODY: &str = r#"{"artist":"7","amount":120}"#;

/// Starts a deployment with one engine per organisation, so that its teams share an accelerator.
async fn start_with_shared_engines() -> Deployment {
    Deployment::start(&Spec { engines: 1, ..Spec::default() }).await.unwrap()
}

fn request(model: &str, question: &str) -> Completion {
    let calendar: String = (0..300).map(|i| format!("Sunday {i}: font {}. ", i % 7)).collect();
    Completion {
        model: model.to_owned(),
        prompt: format!("{calendar}{question}"),
        tokens: 12,
        context: "calendar".to_owned(),
        batch: false,
    }
}

async fn answer(d: &Deployment, team: &str, request: &Completion) -> Answer {
    let answer = d.caller(team, "regina").complete(request).await.unwrap();
    assert_eq!(
        answer.text,
        fakes::expected(&request.model, "v1", &request.prompt, request.tokens),
        "{team}"
    );
    answer
}

/// Requests a stream at one instance. Returns the id and the data of each event.
async fn stream(
    d: &Deployment,
    entry: &Entry,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Vec<(String, String)>, Reply> {
    let url = format!("{}/v1/completions", entry.instance.url());
    let body = Bytes::from(body.to_string());
    let http = &d.platform.http;
    match http.events(Method::POST, &url, headers, body).await.unwrap() {
        Ok(events) => Ok(events.all(STATE_LIMIT).await.unwrap()),
        Err(reply) => Err(reply),
    }
}

/// Status, problem type and `ran` of an answer, which must be a refusal.
fn problem(reply: &Reply) -> (u16, String, String) {
    assert!(!reply.status.is_success(), "request served, not refused: {}", reply.text());
    let doc: Value = reply.json().unwrap();
    let kind = doc["type"].as_str().unwrap().rsplit(':').next().unwrap().to_owned();
    (reply.status.as_u16(), kind, doc["ran"].as_str().unwrap().to_owned())
}

/// Requests a stream that must be refused at one instance. Returns what [`problem`] returns.
async fn refusal(
    d: &Deployment,
    entry: &Entry,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, String, String) {
    match stream(d, entry, headers, body).await {
        Ok(events) => panic!("request served, not refused: {} events", events.len()),
        Err(reply) => problem(&reply),
    }
}

/// The expected [`problem`] of a request that was refused and did not run.
fn refused(status: u16, kind: &str) -> (u16, String, String) {
    (status, kind.to_owned(), "no".to_owned())
}

/// Log entries of the requests that an engine ran.
async fn runs(d: &Deployment, engine: &str) -> Vec<Value> {
    let log = d.platform.log(d.platform.proc(engine).unwrap()).await.unwrap();
    log.into_iter().filter(|e| e["run"].is_string()).collect()
}

async fn get(d: &Deployment, entry: &Entry, path: &str, bearer: &str) -> Reply {
    let url = format!("{}{path}", entry.instance.url());
    let headers = [("authorization", bearer)];
    d.platform.http.send(Method::GET, &url, &headers, Bytes::new()).await.unwrap()
}

/// Handles that no instance issued: each part altered, every 23rd character of payload and MAC
/// replaced, and the team's name replaced. A handle is `PAYLOAD.MAC.TOKENS.HASH`.
fn forged_handles(handle: &str, other: &str) -> Vec<String> {
    let (payload, rest) = handle.split_once('.').unwrap();
    let text = String::from_utf8(URL_SAFE_NO_PAD.decode(payload).unwrap()).unwrap();
    let renamed = text.replace("\"weddings\"", "\"fairs\"");
    assert_ne!(renamed, text, "the handle names its team");
    let renamed = URL_SAFE_NO_PAD.encode(renamed);
    let (other_payload, _) = other.split_once('.').unwrap();
    let mut out = vec![
        format!("{renamed}.{rest}"),
        format!("{other_payload}.{rest}"),
        format!("{payload}.{}", &rest[1..]),
        format!("{payload}.{}.1.0", "0".repeat(32)),
        payload.to_owned(),
        "1.0".to_owned(),
        ".".to_owned(),
    ];
    let mac_end = payload.len() + 1 + rest.split_once('.').unwrap().0.len();
    out.extend((0..mac_end).step_by(23).map(|at| {
        let swap = if &handle[at..=at] == "A" { "B" } else { "A" };
        format!("{}{swap}{}", &handle[..at], &handle[at + 1..])
    }));
    out
}

#[tokio::test(flavor = "multi_thread")]
async fn handles_of_other_teams_and_forged_handles_are_refused() {
    let d = start_with_shared_engines().await;
    let body = json!({"model": "writer", "prompt": "Caption", "max_tokens": 8, "stream": true});
    let own = [("authorization", "Bearer weddings-key")];
    let events = stream(&d, &d.entries[0], &own, &body).await.unwrap();
    let (third, total) = (&events[2].0, events.len());
    let second = stream(&d, &d.entries[1], &own, &body).await.unwrap();
    let before = runs(&d, "inkline-writer-1").await.len();
    for entry in &d.entries {
        for (team, ..) in &TEAMS[1..] {
            let bearer = format!("Bearer {team}-key");
            let headers = [("authorization", &*bearer), ("last-event-id", third)];
            let got = refusal(&d, entry, &headers, &body).await;
            assert_eq!(got, refused(409, "bad-handle"), "{team} at {}", entry.name);
        }
        for handle in forged_handles(third, &second[0].0) {
            for key in ["Bearer weddings-key", "Bearer fairs-key"] {
                let headers = [("authorization", key), ("last-event-id", &*handle)];
                let got = refusal(&d, entry, &headers, &body).await;
                assert_eq!(got, refused(409, "bad-handle"), "{key}: {handle}");
            }
        }
        let mut other = body.clone();
        other["prompt"] = json!("Another caption");
        let headers = [own[0], ("last-event-id", third)];
        let got = refusal(&d, entry, &headers, &other).await;
        assert_eq!(got, refused(409, "bad-handle"), "another body");
        // The team itself can resume at any instance after the third event.
        let rest = stream(&d, entry, &headers, &body).await.unwrap();
        assert_eq!(rest.len(), total - 3, "{}", entry.name);
    }
    assert_eq!(runs(&d, "inkline-writer-1").await.len(), before, "resuming ran no request again");
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_keys_belong_to_one_team() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let call = |entry, team, target| {
        let d = &d;
        async move { d.call(entry, team, target, "key", BODY).await.unwrap() }
    };
    let first = call(&d.entries[0], "weddings", "inkline-desk").await;
    assert_eq!(first.status.as_u16(), 200);
    for entry in &d.entries {
        let own = get(&d, entry, "/v1/outcomes/key", "Bearer weddings-key").await;
        assert_eq!((own.status.as_u16(), &own.body), (200, &first.body), "{}", entry.name);
        for (team, ..) in &TEAMS[1..] {
            let reply = get(&d, entry, "/v1/outcomes/key", &format!("Bearer {team}-key")).await;
            assert_eq!(problem(&reply), refused(404, "no-outcome"), "{team}");
        }
        // Keys that contain the stored name of the other team's call.
        for forged in ["weddings%2Fkey", "..%2Fweddings%2Fkey", "weddings:key"] {
            let path = format!("/v1/outcomes/{forged}");
            let reply = get(&d, entry, &path, "Bearer fairs-key").await;
            assert_eq!(problem(&reply), refused(404, "no-outcome"), "{forged}");
        }
    }
    let fairs = call(&d.entries[1], "fairs", "inkline-desk").await;
    assert_eq!((fairs.status.as_u16(), fairs.header("idempotency-replayed")), (200, None));
    assert_ne!(fairs.body, first.body, "the call of the other team ran separately");
    assert_eq!(d.runs("inkline-desk-1", "key").await.unwrap(), 2);
    for (i, team) in ["parish-east", "parish-west"].into_iter().enumerate() {
        let reply = call(&d.entries[2], team, "umthombo-bookings").await;
        assert_eq!((reply.status.as_u16(), reply.header("idempotency-replayed")), (200, None));
        assert_eq!(d.runs("umthombo-bookings-1", "key").await.unwrap(), i + 1, "{team}");
    }
    let again = call(&d.entries[2], "weddings", "inkline-desk").await;
    assert_eq!((&again.body, again.header("idempotency-replayed")), (&first.body, Some("true")));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_api_keys_are_refused_everywhere() {
    let d = Deployment::start(&Spec::default()).await.unwrap();
    let digest = ident::Digest::of(b"weddings-key").to_string();
    let body = json!({"model": "writer", "prompt": "Caption", "max_tokens": 2, "stream": true});
    let keys = ["nobody", "weddings", "", "weddings-ke", "WEDDINGS-KEY", &digest];
    for entry in &d.entries {
        for key in keys {
            let bearer = format!("Bearer {key}");
            let got = refusal(&d, entry, &[("authorization", &bearer)], &body).await;
            let want = refused(401, "unauthorised");
            assert_eq!(got, want, "completion with {key:?}");
            for path in ["/v1/where", "/v1/outcomes/key"] {
                assert_eq!(problem(&get(&d, entry, path, &bearer).await), want, "{path}: {key:?}");
            }
        }
        let reply = d.call(entry, "nobody", "inkline-desk", "key", BODY).await.unwrap();
        assert_eq!(problem(&reply), refused(401, "unauthorised"));
        let got = refusal(&d, entry, &[], &body).await;
        assert_eq!(got, refused(401, "unauthorised"), "no authorization header");
    }
    assert_eq!(d.runs("inkline-desk-1", "key").await.unwrap(), 0);
    assert!(runs(&d, "inkline-writer-1").await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn models_and_targets_of_another_organisation_are_unknown() {
    let d = start_with_shared_engines().await;
    for (team, model, target, service) in [
        ("weddings", "assistant", "umthombo-assistant", "umthombo-bookings"),
        ("fairs", "assistant", "umthombo-assistant", "umthombo-bookings"),
        ("parish-east", "writer", "inkline-writer", "inkline-desk"),
        ("parish-west", "writer", "inkline-writer", "inkline-desk"),
    ] {
        let bearer = format!("Bearer {team}-key");
        let body = json!({"model": model, "prompt": "Who?", "stream": true, "org": "umthombo"});
        for entry in &d.entries {
            let got = refusal(&d, entry, &[("authorization", &bearer)], &body).await;
            assert_eq!(got, refused(404, "unknown-model"), "{team}");
            for foreign in [service, target, "nothing"] {
                let reply = d.call(entry, team, foreign, "key", BODY).await.unwrap();
                assert_eq!(problem(&reply), refused(404, "unknown-target"), "{team}: {foreign}");
            }
        }
    }
    for service in ["inkline-desk-1", "umthombo-bookings-1"] {
        assert_eq!(d.runs(service, "key").await.unwrap(), 0, "{service}");
    }
    for engine in ["inkline-writer-1", "umthombo-assistant-1"] {
        assert!(runs(&d, engine).await.is_empty(), "{engine}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_missing_from_the_template_is_unknown() {
    let d = start_with_shared_engines().await;
    d.create("models/poet", &json!({"name": "poet", "version": "v1"})).await.unwrap();
    // The target that serves the model `writer` stays in the template.
    let replace_models = |doc: &mut Value| doc["params"]["models"] = json!(["poet"]);
    d.change(&d.entries[0], "templates/inkline", replace_models).await.unwrap();
    d.wait_same_revision().await.unwrap();
    let body = json!({"model": "writer", "prompt": "Who?", "stream": true});
    for entry in &d.entries {
        for bearer in ["Bearer weddings-key", "Bearer fairs-key"] {
            let got = refusal(&d, entry, &[("authorization", bearer)], &body).await;
            assert_eq!(got, refused(404, "unknown-model"), "{bearer} at {}", entry.name);
        }
    }
    assert!(runs(&d, "inkline-writer-1").await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn team_and_salt_given_by_the_caller_are_ignored() {
    let d = start_with_shared_engines().await;
    let plain = request("writer", "Who is first?");
    answer(&d, "weddings", &plain).await;
    let salt = runs(&d, "inkline-writer-1").await[0]["salt"].clone();
    let body = json!({
        "model": "writer", "prompt": plain.prompt, "max_tokens": 4, "stream": true,
        "prompt_cache_key": "calendar", "team": "weddings", "org": "inkline", "user": "weddings",
        "cache_salt": salt, "kv_handle": "kv-1",
    });
    let headers = [
        ("authorization", "Bearer fairs-key"),
        ("x-team", "weddings"),
        ("x-org", "inkline"),
        ("cache-salt", salt.as_str().unwrap()),
    ];
    for entry in &d.entries {
        let got = stream(&d, entry, &headers, &body).await;
        assert!(got.is_ok(), "fields unknown to the API are ignored");
    }
    let log = runs(&d, "inkline-writer-1").await;
    let own: Vec<_> = log[1..].iter().map(|e| &e["salt"]).collect();
    assert!(own.iter().all(|s| **s == *own[0] && **s != salt), "{own:?}");
    assert_eq!((&log[1]["cached_tokens"], &log[1]["imported"]), (&json!(0), &json!(0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn teams_have_different_cache_salts() {
    let d = start_with_shared_engines().await;
    let mut salts = Vec::new();
    for (i, (team, model, engine)) in TEAMS.into_iter().enumerate() {
        // The previous team left the same prompt in this accelerator's cache and in the store.
        let first = answer(&d, team, &request(model, "Who is first?")).await;
        assert_eq!(first.cached, 0, "{team} used another team's cache");
        wait_for("the context to be saved to the store", STATE_LIMIT, || async {
            (d.events("kept").await.ok()?.len() > i).then_some(())
        })
        .await
        .unwrap();
        let run = runs(&d, engine).await.pop().unwrap();
        assert_eq!(run["imported"], 0, "{team} imported another team's cache");
        assert!(!salts.contains(&run["salt"]), "{team} has a salt of its own");
        salts.push(run["salt"].clone());
    }
    for (i, (team, model, engine)) in TEAMS.into_iter().enumerate() {
        let proc = d.platform.proc(engine).unwrap();
        d.platform.faults(proc, json!({"evict_all": true})).await.unwrap();
        d.platform.faults(proc, json!({})).await.unwrap();
        let again = answer(&d, team, &request(model, "Who is second?")).await;
        assert!(again.cached > 0, "{team} uses its own kept cache");
        let run = runs(&d, engine).await.pop().unwrap();
        assert!(run["imported"].as_u64().unwrap() > 0, "{team}: {run}");
        assert_eq!(run["salt"], salts[i], "{team} keeps its salt");
    }
}

/// Sends requests until one is refused and checks the text of each answer. Returns the number of
/// answers and the refusal.
async fn complete_until_refused(d: &Deployment, worker: usize) -> (usize, CallError) {
    let caller = d.caller("weddings", "regina");
    let mut done = 0;
    loop {
        let request = request("writer", &format!("Worker {worker}, question {done}?"));
        match caller.complete(&request).await {
            Ok(answer) => {
                let wanted = fakes::expected("writer", "v1", &request.prompt, request.tokens);
                assert_eq!(answer.text, wanted, "worker {worker}, answer {done}");
                done += 1;
            }
            Err(error) => return (done, error),
        }
    }
}

/// Adds the model `writer` and its target to the template of the other organisation.
async fn grant_writer(d: &Deployment) {
    let grant = |doc: &mut Value| {
        doc["params"]["models"] = json!(["assistant", "writer"]);
        doc["params"]["targets"] =
            json!(["inkline-writer", "umthombo-assistant", "umthombo-bookings"]);
    };
    d.change(&d.entries[2], "templates/umthombo", grant).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_moved_target_serves_only_its_new_organisation() {
    let d = Arc::new(start_with_shared_engines().await);
    let workers: Vec<_> = (0..3)
        .map(|worker| {
            let d = d.clone();
            tokio::spawn(async move { complete_until_refused(&d, worker).await })
        })
        .collect();
    wait_for("requests to run", STATE_LIMIT, || async {
        (runs(&d, "inkline-writer-1").await.len() > 10).then_some(())
    })
    .await
    .unwrap();
    let move_target = |doc: &mut Value| doc["org"] = json!("umthombo");
    let too_early = d.change(&d.entries[0], "targets/inkline-writer", move_target).await;
    let too_early = too_early.unwrap_err().to_string();
    assert!(too_early.contains("with target inkline-writer of umthombo"), "{too_early}");
    let withdraw = |doc: &mut Value| doc["params"]["targets"] = json!(["inkline-desk"]);
    d.change(&d.entries[0], "templates/inkline", withdraw).await.unwrap();
    d.change(&d.entries[1], "targets/inkline-writer", move_target).await.unwrap();
    for worker in workers {
        let (done, error) =
            tokio::time::timeout(MAX_PROPAGATION_TIME, worker).await.unwrap().unwrap();
        let CallError::Problem(problem) = error else { panic!("{error}") };
        assert!(done > 0 && problem.is("unknown-model"), "{done}: {problem}");
        assert_eq!((problem.status, problem.ran), (404, Ran::No));
    }
    d.wait_same_revision().await.unwrap();
    let before = runs(&d, "inkline-writer-1").await;
    grant_writer(&d).await;
    d.wait_same_revision().await.unwrap();
    // The beginning of the prompt is still cached there and in the store, for teams of the old
    // organisation.
    for team in ["parish-east", "parish-west"] {
        let first = answer(&d, team, &request("writer", "Who is first?")).await;
        assert_eq!(first.cached, 0, "{team} used the old organisation's cache");
    }
    for team in ["weddings", "fairs"] {
        let error =
            d.caller(team, "regina").complete(&request("writer", "Who?")).await.unwrap_err();
        assert!(error.to_string().contains("unknown-model"), "{team}: {error}");
    }
    let log = runs(&d, "inkline-writer-1").await;
    let (old, new) = log.split_at(before.len());
    assert_eq!(new.len(), 2, "the new organisation's requests only");
    for run in new {
        assert!(old.iter().all(|o| o["salt"] != run["salt"]), "two organisations share a salt");
        assert_eq!((&run["cached_tokens"], &run["imported"]), (&json!(0), &json!(0)));
    }
}
