//! `lentilctl events --follow` prints every event once, also if an instance restarts.

mod common;

use std::{
    fs,
    io::{BufRead, BufReader, Lines},
    process::{Child, ChildStdout, Command, Stdio},
};

use admin::Memory;
use common::{Instance, KEY, name};
use events::EventKind;
use ident::Time;

struct FollowCommand {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    _dir: tempfile::TempDir,
}

impl FollowCommand {
    fn new(url: &str) -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentilctl"))
            .args(["events", "--follow", "--admin", url, "--key-file", "key"])
            .current_dir(dir.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines, _dir: dir }
    }

    fn expect(&mut self, wanted: &[&str]) {
        for line in wanted {
            assert_eq!(self.lines.next().unwrap().unwrap(), *line);
        }
    }
}

impl Drop for FollowCommand {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

fn record_ready(memory: &Memory, times: &[u64]) {
    for at in times {
        memory.log.record(Time(*at), EventKind::Ready);
    }
}

/// An instance is replaced by one that has fewer, the same number of, or more events than were read
/// from it. The read position must be reset, and no event may be skipped or repeated.
#[test]
fn restart_skips_no_events() {
    for after_restart in [&[7000][..], &[7000, 8000], &[7000, 8000, 9000]] {
        let first = Memory::new(name("inkline-1"), name("regina"), KEY);
        let next = first.join(name("inkline-1"), name("regina"));
        record_ready(&first, &[1000, 2000]);
        let mut instance = Instance::serve(first, 0);
        let mut follow = FollowCommand::new(&instance.url);
        follow.expect(&[
            "1970-01-01T00:00:01.000Z inkline-1 1 ready",
            "1970-01-01T00:00:02.000Z inkline-1 2 ready",
        ]);
        record_ready(&instance.memory, &[3000]);
        follow.expect(&["1970-01-01T00:00:03.000Z inkline-1 3 ready"]);

        instance.stop();
        record_ready(&next, after_restart);
        let port = instance.url.rsplit(':').next().unwrap().parse().unwrap();
        let instance = Instance::serve(next, port);
        let lines: Vec<_> = after_restart
            .iter()
            .zip(1..)
            .map(|(at, i)| format!("1970-01-01T00:00:0{}.000Z inkline-1 {i} ready", at / 1000))
            .collect();
        record_ready(&instance.memory, &[9500]);
        follow.expect(&lines.iter().map(String::as_str).collect::<Vec<_>>());
        follow.expect(&[&format!(
            "1970-01-01T00:00:09.500Z inkline-1 {} ready",
            after_restart.len() + 1
        )]);
    }
}
