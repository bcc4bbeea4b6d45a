//! Sessions of commands and their expected output.
//!
//! A session file consists of blocks that are separated by empty lines:
//!
//! - `--- NAME` writes the lines up to `===` to a file;
//! - `! WORDS` changes the state of an instance, see [`Session::run_action`];
//! - `$ lentilctl ...` runs a command against three instances. The lines below it are its standard
//!   output, then its standard error, both without empty lines, and `[exit N]` unless N is 0.
//!
//! A path below `samples/` is relative to the repository. In the output, addresses are replaced by
//! `http://1` to `http://3`, keys by KEY, ids and digests by ID. With `GOLDEN_UPDATE=1` the files
//! are rewritten with the actual output, for review.

mod common;

use std::{fmt::Write, fs, path::Path, process::Command, time::Duration};

use admin::{ControlError, Memory, ReplicaState, ReplicaStatus, RolloutStatus};
use common::{Instance, KEY, name};
use events::EventKind;
use ident::{Rev, Time};

const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

struct Session {
    dir: tempfile::TempDir,
    instances: Vec<Instance>,
}

impl Session {
    fn new() -> Self {
        let first = Memory::new(name("inkline-1"), name("regina"), KEY);
        let second = first.join(name("inkline-2"), name("saskatoon"));
        let third = first.join(name("inkline-3"), name("winnipeg"));
        let instances = [first, second, third].map(|m| Instance::serve(m, 0)).into();
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        Self { dir, instances }
    }

    /// Runs the action of a `!` line on the instance that it names.
    fn run_action(&mut self, line: &str) {
        let words: Vec<_> = line.split(' ').collect();
        let instance = &mut self.instances[words[1].parse::<usize>().unwrap() - 1];
        let memory = &instance.memory;
        match words[0] {
            "lag" => memory.lag(words[2].parse().unwrap()),
            "lose" => memory.lose_answers(words[2].parse().unwrap()),
            "outage" => {
                let retry_after = Duration::from_secs(3);
                memory.fail(Some(ControlError::Unavailable { retry_after }));
            }
            "recover" => memory.fail(None),
            "stop" => {
                instance.stop();
            }
            "watch" => memory.set_replicas(vec![ReplicaStatus {
                name: name(words[2]),
                target: name(words[3]),
                zone: name("regina"),
                state: ReplicaState::Live,
                weights: None,
                running: 0,
            }]),
            "rollout" => memory.set_rollout(Some(RolloutStatus {
                model: name(words[2]),
                version: name(words[3]),
                leader: None,
                total: 12,
                ready: 12,
                loading: 0,
            })),
            "event" => {
                let at = Time(words[2].parse().unwrap());
                memory.log.record(at, EventKind::ConfApplied { rev: Rev(1) });
            }
            other => panic!("unknown action {other}"),
        }
    }

    fn run_command(&self, line: &str) -> String {
        let mut words = line.split(' ').map(str::to_owned);
        assert_eq!(words.next().as_deref(), Some("lentilctl"));
        let urls: Vec<_> = self.instances.iter().map(|i| i.url.as_str()).collect();
        let args = words.map(|w| match w.strip_prefix("http://") {
            Some(n) => self.instances[n.parse::<usize>().unwrap() - 1].url.clone(),
            None if w.starts_with("samples/") => format!("{REPOSITORY}/{w}"),
            None => w,
        });
        let output = Command::new(env!("CARGO_BIN_EXE_lentilctl"))
            .args(args)
            .current_dir(self.dir.path())
            .env("LENTIL_ADMIN", urls.join(","))
            .env("LENTIL_KEY_FILE", "key")
            .output()
            .unwrap();
        let mut text = String::from_utf8(output.stdout).unwrap();
        text.push_str(&String::from_utf8(output.stderr).unwrap());
        if !output.status.success() {
            writeln!(text, "[exit {}]", output.status.code().unwrap()).unwrap();
        }
        let text = self.mask(&text);
        text.lines().filter(|l| !l.is_empty()).flat_map(|l| [l, "\n"]).collect()
    }

    fn mask(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (i, instance) in self.instances.iter().enumerate() {
            let short = format!("http://{}", i + 1);
            let width = instance.url.len();
            text = text.replace(&format!("{}  ", instance.url), &format!("{short:width$}  "));
            text = text.replace(&instance.url, &short);
        }
        let mut out = String::new();
        let mut rest = text.as_str();
        while !rest.is_empty() {
            let digits = rest.bytes().take_while(u8::is_ascii_hexdigit).count();
            let (word, after) = rest.split_at(digits.max(rest.chars().next().unwrap().len_utf8()));
            out.push_str(match digits {
                64 => "KEY",
                32 => "ID",
                _ => word,
            });
            rest = after;
        }
        out
    }

    /// Runs a session and returns it with the actual output.
    fn run(&mut self, session: &str) -> String {
        let mut actual = String::new();
        let mut lines = session.lines().peekable();
        while let Some(line) = lines.next() {
            writeln!(actual, "{line}").unwrap();
            if let Some(file) = line.strip_prefix("--- ") {
                let body: Vec<_> = lines.by_ref().take_while(|l| *l != "===").collect();
                fs::write(self.dir.path().join(file), body.join("\n")).unwrap();
                writeln!(actual, "{}\n===", body.join("\n")).unwrap();
            } else if let Some(action) = line.strip_prefix("! ") {
                self.run_action(action);
            } else if let Some(command) = line.strip_prefix("$ ") {
                while lines.next_if(|l| !l.is_empty()).is_some() {}
                actual.push_str(&self.run_command(command));
            }
        }
        actual
    }
}

fn check_session(file: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions").join(file);
    let session = fs::read_to_string(&path).unwrap();
    let mut run = Session::new();
    let actual = run.run(&session);
    if std::env::var_os("GOLDEN_UPDATE").is_some() {
        fs::write(&path, &actual).unwrap();
    }
    assert_eq!(actual, session, "{file} differs");
}

#[test]
fn documents() {
    check_session("documents.txt");
}

#[test]
fn lost_races() {
    check_session("lost_races.txt");
}

#[test]
fn lost_answers() {
    check_session("lost_answers.txt");
}

#[test]
fn moving_targets() {
    check_session("moving_targets.txt");
}

#[test]
fn api_keys() {
    check_session("api_keys.txt");
}

#[test]
fn sample_documents() {
    check_session("sample_documents.txt");
}

#[test]
fn running_instances() {
    check_session("running_instances.txt");
}
