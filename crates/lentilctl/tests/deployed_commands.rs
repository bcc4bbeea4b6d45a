//! Commands against instances and platform stand-ins that run as processes.

use std::{
    fs,
    process::{Command, Output},
};

use hyper::{Method, StatusCode};
use rig::{Deployment, OPERATOR_KEY, Spec, wait_for};
use serde_json::{Value, json};

struct Operator {
    dir: tempfile::TempDir,
    admins: String,
}

impl Operator {
    fn new(deployment: &Deployment) -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), OPERATOR_KEY).unwrap();
        let admins: Vec<_> = deployment.entries.iter().map(|e| e.admin.clone()).collect();
        Self { dir, admins: admins.join(",") }
    }

    fn run(&self, line: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lentilctl"))
            .args(line.split(' '))
            .current_dir(self.dir.path())
            .env("LENTIL_ADMIN", &self.admins)
            .env("LENTIL_KEY_FILE", "key")
            .output()
            .unwrap()
    }

    /// Runs a command that must end with exit code `code`; returns its standard output and error.
    fn expect(&self, code: i32, line: &str) -> String {
        let output = self.run(line);
        let text = |bytes| String::from_utf8(bytes).unwrap();
        let (out, err) = (text(output.stdout), text(output.stderr));
        assert_eq!(output.status.code(), Some(code), "{line}: {out}{err}");
        out + &err
    }

    /// Runs a command that must succeed; returns its JSON output.
    fn json(&self, line: &str) -> Value {
        let text = self.expect(0, &format!("--json {line}"));
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{line}: {e}: {text}"))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect() {
    let spec = Spec { engines: 3, ..Spec::default() };
    let mut deployment = Deployment::start(&spec).await.unwrap();
    let operator = Operator::new(&deployment);
    operator.expect(0, "status --same");

    let made = operator.json("team key new weddings");
    operator.expect(0, &format!("wait {}", made["rev"]));
    let bearer = format!("Bearer {}", made["key"].as_str().unwrap());
    for entry in &deployment.entries {
        let url = format!("{}/v1/where", entry.instance.url());
        let headers = [("authorization", &*bearer)];
        let reply = deployment.platform.http.send(Method::GET, &url, &headers, "".into()).await;
        assert_eq!(reply.unwrap().status, StatusCode::OK, "{}", entry.name);
    }

    let moved = operator.expect(0, "target move inkline-desk --to umthombo");
    assert!(moved.starts_with("template inkline: stopped listing inkline-desk"), "{moved}");
    let moved = operator.expect(0, "target move inkline-desk --to umthombo");
    assert!(moved.contains("already of umthombo"), "{moved}");

    let rolled = operator.expect(0, "model roll writer v2 --wait --within 1m");
    assert!(rolled.contains("v2: 3 of 3 replicas, 0 loading"), "{rolled}");

    let leaving = deployment.entries.pop().unwrap();
    operator.expect(0, &format!("drain --admin {}", leaving.admin));
    let mut proc = leaving.instance.proc;
    let status = proc.wait(rig::STATE_LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0));
    operator.expect(1, "status --same");
    assert!(operator.expect(1, "events").contains(" rollout "));
    assert!(operator.expect(0, "status").contains("no answer"));
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_after_lost_and_refused_writes() {
    let deployment = Deployment::start(&Spec::default()).await.unwrap();
    let operator = Operator::new(&deployment);
    let (platform, table) = (&deployment.platform, &deployment.platform.table);
    let before = operator.json("team set weddings patch.spread=3")["rev"].as_u64().unwrap();

    platform.faults(table, json!({"lose_answers": 3})).await.unwrap();
    let change = operator.json("team set weddings patch.spread=4");
    assert_eq!(change["rev"], before + 1, "accepted once");

    platform.faults(table, json!({"outage": true})).await.unwrap();
    // Without the table service an instance can't look up the change id, so the outcome may also be
    // unknown (exit code 4).
    let refused = operator.run("team set weddings patch.spread=5").status.code();
    assert!(matches!(refused, Some(1 | 4)), "{refused:?}");

    platform.faults(table, json!({})).await.unwrap();
    let again = wait_for("a change to be accepted", rig::STATE_LIMIT, || async {
        let output = operator.run("--json team set weddings patch.spread=6");
        output.status.success().then(|| serde_json::from_slice::<Value>(&output.stdout).unwrap())
    });
    assert_eq!(again.await.unwrap()["rev"], before + 2, "the refused change was not accepted");
}
